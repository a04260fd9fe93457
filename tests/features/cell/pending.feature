Feature: Jobs of which no task has started are counted as pending

  A claim was taken for a start. Of jobs whose starts were refused or got no
  answer none was counted, although all of them waited.

  Scenario Outline: A job waits until a worker has its task
    Given a leader, a VM and a job of one task that is claimed
    When the agent reports the run as <report>
    Then <count> jobs are counted as pending

    Examples:
      | report      | count |
      | nothing yet | 1     |
      | pending     | 1     |
      | refused     | 1     |
      | running     | 0     |
      | lapsed      | 0     |
      | failed      | 0     |
      | done        | 0     |

  Scenario: A job that has begun is not pending again under a new leader
    Given a leader, a VM and a job of one task that is claimed
    When the agent reports the run as lapsed
    And another leader claims the task again
    Then 0 jobs are counted as pending

  Scenario: A start is stored once, not with each report
    Given a leader, a VM and a job of one task that is claimed
    When the agent reports the run as running
    And the agent reports the run as running
    Then the job's state was stored 2 times

  Scenario: A state that was stored without the mark of a start is read
    Given a state of a job that an earlier version stored
    When it is read
    Then its tasks are known and no start is

  Scenario: An earlier version reads a state with the mark of a start
    Given a state with the mark of a start
    When it is read by an earlier version
    Then its tasks are known
