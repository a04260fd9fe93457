Feature: Limits on customers, queues and the link between regions

  Scenario: A burst of one customer fills only its own queue
    Given an admission of 2 slots and 20 connections filled by "flood"
    When the admission gets 4 requests of "victim"
    Then 4 queued requests of "flood" were evicted
    And the next 8 starts of the admission alternate between "flood" and "victim"

  Scenario: Requests of one customer start by earliest deadline
    Given an admission of 1 slots and 20 connections filled by "other"
    When the admission gets requests of "c" with deadlines 9, 5 and 7
    Then the admission starts those of "c" with deadlines 5, 7 and 9

  Scenario: A request that can't meet its deadline is rejected immediately
    Given an admission of 1 slots and 20 connections filled by "other"
    When the admission gets a request of "other" that has 0.1 s left
    Then the admission rejects it with DeadlinePassedError, "not-run" and a retry time

  Scenario Outline: A customer's rate limit holds over all entries
    When a customer limited to 100/s sends 3 entries <a>, <b> and <c> requests/s for 20 s
    Then its admitted rate after 5 s is between <least> and 110 requests/s

    Examples:
      | a    | b   | c   | least |
      | 1000 | 0   | 0   | 85    |
      | 300  | 300 | 300 | 85    |
      | 500  | 50  | 50  | 85    |
      | 10   | 20  | 30  | 55    |

  Scenario: The budget of the link between regions includes responses
    When responses of 300000 bytes use a link of 1000000 bytes/s whenever allowed for 20 s
    Then at most 21300000 bytes were sent over the link

  Scenario: One customer can't exhaust the capacity of an entry
    Given an entry with a limit of 100 requests that one customer fills up to its share
    Then another customer can still send 25 requests to the entry
