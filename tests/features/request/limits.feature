Feature: Limits of customers, queues and the link

  Scenario: A flood waits in its own line
    Given an admission of 2 slots and 20 connections that "flood" has filled
    When the admission is offered 4 requests of "victim"
    Then 4 waiting requests of "flood" were displaced
    And the next 8 starts of the admission take turns between "flood" and "victim"

  Scenario: Within a customer the earliest deadline starts first
    Given an admission of 1 slots and 20 connections that "other" has filled
    When the admission is offered requests of "c" with deadlines 9, 5 and 7
    Then the admission starts those of "c" with deadlines 5, 7 and 9

  Scenario: A queue that is too long for a deadline refuses at once
    Given an admission of 1 slots and 20 connections that "other" has filled
    When the admission is offered a request of "other" that has 0.1 s left
    Then the admission refuses it as DeadlinePassedError with "not-run" and when to come back

  Scenario Outline: A customer's rate holds over all entries wherever it asks
    When a customer limited to 100/s asks 3 entries for <a>, <b> and <c> requests/s during 20 s
    Then its admitted rate after 5 s lies between <least> and 110 requests/s

    Examples:
      | a    | b   | c   | least |
      | 1000 | 0   | 0   | 85    |
      | 300  | 300 | 300 | 85    |
      | 500  | 50  | 50  | 85    |
      | 10   | 20  | 30  | 55    |

  Scenario: The link's budget holds, answers included
    When answers of 300000 bytes cross a link of 1000000 bytes/s whenever they may for 20 s
    Then at most 21300000 bytes crossed the link

  Scenario: A customer can't fill an entry alone
    Given an entry that holds 100 requests, filled by one customer as far as it can
    Then another customer can still bring 25 requests to the entry
