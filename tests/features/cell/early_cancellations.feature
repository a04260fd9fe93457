Feature: Stored cancellations whose job is not stored

  Scenario Outline: Only a job of the same queue is cancelled
    # A caller of another queue may name the id of any job.
    Given a stored cancellation of an unknown job
    When the job of route "<route>" at "<host>" "<prefix>" is stored
    Then the job is shown as "<state>" after each order of both records
    And <kept> cancellation of an unknown job is kept

    Examples:
      | route | host        | prefix  | state     | kept |
      | q     | example.org | /q/     | cancelled | 0    |
      | p     | example.org | /q/     | cancelled | 0    |
      | q     | example.org | /other/ | open      | 1    |
      | q     | example.com | /q/     | open      | 1    |
      | p     | example.org | /other/ | open      | 1    |

  Scenario: Cancellations of jobs that never come are dropped
    Given a leader without jobs
    And a stored cancellation of an unknown job
    When a leader drops expired records at 10 s and at 69 s
    Then no key was dropped
    When it drops expired records at 70 s
    Then only the key of the cancellation is dropped
    And 0 cancellation of an unknown job is kept

  Scenario: A repeated cancellation is kept as long as a first one
    Given a leader without jobs
    And a stored cancellation of an unknown job
    When a leader drops expired records at 10 s and at 60 s
    And the same cancellation is stored again
    And it drops expired records at 69 s
    And it drops expired records at 128 s
    Then no key was dropped
    When it drops expired records at 130 s
    Then only the key of the cancellation is dropped

  Scenario: The keys of a job that was cancelled before it came are dropped
    Given a leader without jobs
    And a stored cancellation of an unknown job
    When the job of route "q" at "example.org" "/q/" is stored
    And a leader drops expired records at 10 s and at 100 s
    Then no key was dropped
    When it drops expired records at 190 s
    Then the keys of both records are dropped
