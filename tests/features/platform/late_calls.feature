Feature: Calls that are executed late by a worker's next instance

  A call without a response may be executed seconds later, by a worker that
  has restarted under the same id and has seen no token. A start then ran a
  task that was done, a hold made it forget ends that nobody had read, and
  prolonged its lease.

  Background:
    Given a worker that has restarted under its id

  Scenario Outline: A call meant for the former instance does nothing
    When the agent has read the runs of the new instance in term <term>
    And the new instance ends a run
    And a <call> of term <former> for the former instance arrives
    Then it is fenced, and the worker lists the end and runs nothing

    Examples:
      | call  | former | term |
      | start | 3      | 3    |
      | start | 2      | 3    |
      | hold  | 3      | 3    |
      | stop  | 3      | 3    |

  Scenario: Calls of a later term are taken
    When the agent has read the runs of the new instance in term 3
    And a start of term 4 for the new instance arrives
    Then the worker runs it

  Scenario: Calls of a former term are refused by the instance itself
    When the agent has read the runs of the new instance in term 3
    And a start of term 2 for the new instance arrives
    Then it is fenced
