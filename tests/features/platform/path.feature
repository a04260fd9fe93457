Feature: The whole path on the users' platform, against stand-ins

  Background:
    Given a platform with 2 entries and 2 VMs

  Scenario: A job of two steps is accepted, runs in order and completes
    When a caller submits a job of 2 steps with 3 tasks each
    Then the answer is 200
    And the job is "completed" within 8 s at each entry
    And each of its 6 tasks was started once, the first step first

  Scenario: The same job again stays one job
    When a caller submits a job of 1 steps with 2 tasks each
    And the same job comes again at the other entry
    Then the answer is 200
    And the job is "completed" within 8 s at each entry
    And each of its 2 tasks was started once, the first step first

  Scenario: A cancelled job ends and stays cancelled
    When a caller submits a job that lasts
    And the caller cancels it at the other entry
    Then the answer is 200
    And the job is "cancelled" within 3 s at each entry

  Scenario: A new leader goes on with a job
    When a caller submits a job of 2 steps with 3 tasks each
    And the leading entry is killed
    Then the job is "completed" within 15 s at the entry that is left
    And each of its 6 tasks was started once, the first step first

  Scenario: A restarted agent goes on with what runs
    When a caller submits a job of 2 steps with 3 tasks each
    And each agent is started anew
    Then the job is "completed" within 15 s at each entry

  Scenario: A store that refuses is told to the caller at once
    When the store refuses all calls
    And a caller submits a job of 1 steps with 1 tasks each
    Then the answer is 503 with a time to come back, within 1 s

  Scenario: An entry that the store turns away accepts by way of another
    When the store turns away what callers send to the first entry
    And a caller submits a job of 1 steps with 2 tasks each
    Then the answer is 200
    And the job is "completed" within 8 s at each entry

  Scenario: A peer that never answers leaves it open what became of a job
    When the store turns away what callers send to the first entry
    And the other entry falls silent
    And a caller submits a job of 1 steps with 1 tasks each
    Then the answer is 504

  Scenario: A lost answer of the store is never called a refusal
    When the answers of the store get lost
    And a caller submits a job of 1 steps with 1 tasks each
    Then the answer is 504

  Scenario: A store that forgets its history costs nothing
    When a caller submits a job of 1 steps with 2 tasks each
    And the store forgets its history
    Then the job is "completed" within 8 s at each entry

  Scenario Outline: Bad input gets a clear answer
    When a caller sends <method> "<path>" with "<body>"
    Then the answer is <status>

    Examples:
      | method | path                   | body                                       | status |
      | POST   | /q/00000000000000aa    | not json                                   | 400    |
      | POST   | /q/00000000000000aa    | {"Steps":[]}                               | 400    |
      | POST   | /q/00000000000000aa    | {"Steps":[{"Count":-1}]}                   | 400    |
      | POST   | /q/00000000000000aa    | {"Steps":[{"Count":1,"Cpu":-5}]}           | 400    |
      | POST   | /q/00000000000000aa    | {"Steps":[{"Count":1,"DependsOn":[0]}]}    | 400    |
      | POST   | /q/00000000000000aa    | {"Steps":[{"Count":"x"}]}                  | 400    |
      | POST   | /q/short               | {}                                         | 400    |
      | POST   | /elsewhere/aa          | {}                                         | 404    |
      | GET    | /q/00000000000000bb    |                                            | 410    |
      | DELETE | /q/00000000000000bb    |                                            | 410    |
      | PUT    | /q/00000000000000bb    | x                                          | 405    |
      | GET    | /q/                    |                                            | 200    |

  Scenario: A record of another hand is skipped
    When another writer leaves damaged records in the store
    And a caller submits a job of 1 steps with 1 tasks each
    Then the answer is 200
    And the job is "completed" within 8 s at each entry

  Scenario: A damaged check-in names no worker and harms none
    When a worker's check-in is "{}" and then "nonsense"
    And a caller submits a job of 1 steps with 1 tasks each
    Then the job is "completed" within 8 s at each entry

  Scenario: A config of a lower version does not come back
    When the operator writes version 5 and then version 4 without routes
    And a caller submits a job of 1 steps with 1 tasks each
    Then the answer is 200
