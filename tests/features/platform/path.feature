Feature: The complete job path on the users' platform, with stand-ins

  Background:
    Given a platform with 2 entries and 2 VMs

  Scenario: A job of two steps is accepted, runs in order and completes
    When a caller submits a job of 2 steps with 3 tasks each
    Then the response status is 200
    And the job is "completed" within 8 s at each entry
    And each of its 6 tasks was started once, the first step first

  Scenario: A job that is submitted twice runs once
    When a caller submits a job of 1 steps with 2 tasks each
    And the same job is submitted again at the other entry
    Then the response status is 200
    And the job is "completed" within 8 s at each entry
    And each of its 2 tasks was started once, the first step first

  Scenario: A cancelled job ends and stays cancelled
    When a caller submits a job that runs until it is cancelled
    And the caller cancels the job at the other entry
    Then the response status is 200
    And the job is "cancelled" within 3 s at each entry

  Scenario: A new leader continues a job
    When a caller submits a job of 2 steps with 3 tasks each
    And the leader is killed
    Then the job is "completed" within 15 s at the remaining entry
    And each of its 6 tasks was started once, the first step first

  Scenario: A restarted agent continues the running tasks
    When a caller submits a job of 2 steps with 3 tasks each
    And each agent is restarted
    Then the job is "completed" within 15 s at each entry

  Scenario: A worker that is back with an earlier start time gets work
    # Load: the time of day is set back and the workers restart.
    When each worker restarts with a start time 5 s earlier
    And a caller submits a job of 2 steps with 3 tasks each
    Then the job is "completed" within 8 s at each entry
    And each of its 6 tasks was started once, the first step first

  Scenario: A refusal of the store is reported to the caller at once
    When the store refuses all calls
    And a caller submits a job of 1 steps with 1 tasks each
    Then the response status is 503 with a Retry-After header, within 1 s

  Scenario: An entry whose appends the store refuses relays them to another entry
    When the store refuses the first entry's appends for callers
    And a caller submits a job of 1 steps with 2 tasks each
    Then the response status is 200
    And the job is "completed" within 8 s at each entry

  Scenario: An unresponsive peer leaves the outcome of a submission unknown
    When the store refuses the first entry's appends for callers
    And the other entry stops responding
    And a caller submits a job of 1 steps with 1 tasks each
    Then the response status is 504

  Scenario: A lost response of the store is not reported as a refusal
    When the responses of the store get lost
    And a caller submits a job of 1 steps with 1 tasks each
    Then the response status is 504

  Scenario: A job completes although the store's history expires
    When a caller submits a job of 1 steps with 2 tasks each
    And the store's history expires
    Then the job is "completed" within 8 s at each entry

  Scenario Outline: Invalid input gets a definite status
    When a caller sends <method> "<path>" with "<body>"
    Then the response status is <status>

    Examples:
      | method | path                   | body                                       | status |
      | POST   | /q/00000000000000aa    | not json                                   | 400    |
      | POST   | /q/00000000000000aa    | {"Steps":[]}                               | 400    |
      | POST   | /q/00000000000000aa    | {"Steps":[{"Count":-1}]}                   | 400    |
      | POST   | /q/00000000000000aa    | {"Steps":[{"Count":1,"Cpu":-5}]}           | 400    |
      | POST   | /q/00000000000000aa    | {"Steps":[{"Count":1,"DependsOn":[0]}]}    | 400    |
      | POST   | /q/00000000000000aa    | {"Steps":[{"Count":"x"}]}                  | 400    |
      | POST   | /q/00000000000000aa    | {"Steps":[{"Count":1,"Cpu":99999999999999999999}]}     | 400 |
      | POST   | /q/00000000000000aa    | {"Steps":[{"Count":1,"MemMb":99999999999999}]}         | 400 |
      | POST   | /q/00000000000000aa    | {"Steps":[{"Count":1,"TargetMs":1e30}]}                | 400 |
      | POST   | /q/00000000000000aa    | {"Steps":[{"Count":1}],"Repeats":99999999999999999999} | 400 |
      | POST   | /q/00000000000000aa    | {"Steps":[{"Count":1}],"StartAtMs":18446744073709551615,"Repeats":2} | 400 |
      | POST   | /q/short               | {}                                         | 400    |
      | POST   | /elsewhere/aa          | {}                                         | 404    |
      | GET    | /q/00000000000000bb    |                                            | 410    |
      | DELETE | /q/00000000000000bb    |                                            | 410    |
      | PUT    | /q/00000000000000bb    | x                                          | 405    |
      | GET    | /q/                    |                                            | 200    |

  Scenario: Malformed records of another writer are skipped
    When another writer appends malformed records to the store
    And a caller submits a job of 1 steps with 1 tasks each
    Then the response status is 200
    And the job is "completed" within 8 s at each entry

  Scenario: A malformed check-in is rejected and affects no worker
    When a worker checks in with "{}" and then with "nonsense"
    And a caller submits a job of 1 steps with 1 tasks each
    Then the job is "completed" within 8 s at each entry

  Scenario: A config with a lower version does not replace a newer one
    When the operator writes version 5 and then version 4 without routes
    And a caller submits a job of 1 steps with 1 tasks each
    Then the response status is 200
