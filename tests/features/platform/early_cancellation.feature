Feature: A cancellation that reaches the store before its job

  # UNASKED: a job whose append was executed late ran to its end after its
  # cancellation had been answered with 410.

  Scenario Outline: A job whose append is executed after its cancellation
    Given a platform with 2 entries and 2 VMs
    When the store executes appends of the job 5 s late and does not answer
    And a caller submits a job of 2 steps with 1 tasks each
    Then the response status is 504
    When the store answers again
    And a caller cancels the job at <entry>, and <change>
    Then the response status is 410
    And the job is "cancelled" within 6 s at <shown>
    And none of its tasks was started

    Examples:
      | entry           | change                 | shown               |
      | the same entry  | nothing else happens   | each entry          |
      | the other entry | nothing else happens   | each entry          |
      | the same entry  | the leader is killed   | the remaining entry |
      | the same entry  | the history expires    | each entry          |

  Scenario: A copy of a request that arrives after its cancellation
    Given a platform with 2 entries and 2 VMs
    When a caller cancels the job at the same entry, and nothing else happens
    Then the response status is 410
    When a caller submits a job of 1 steps with 1 tasks each
    Then the response status is 200
    And the job is "cancelled" within 2 s at each entry
    And none of its tasks was started

  Scenario: A cancellation that can't be stored is not reported as unknown
    Given a platform with 2 entries and 2 VMs
    When the store refuses all calls
    And a caller cancels the job at the same entry, and nothing else happens
    Then the response status is 503 with a Retry-After header, within 3 s

  Scenario: Cancellations of unknown jobs are bounded
    Given a platform with 2 entries and 2 VMs
    And a limit of 2 cancellations of unknown jobs
    When callers cancel 2 unknown jobs
    And a caller cancels the job at the same entry, and nothing else happens
    Then the response status is 503 with a Retry-After header, within 2 s
    When a caller submits a job that runs until it is cancelled
    And the caller cancels the job at the other entry
    Then the response status is 200
    And the job is "cancelled" within 3 s at each entry
