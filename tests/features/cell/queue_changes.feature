Feature: Jobs follow the newest config of their queue

  Scenario: Waiting tasks start in the new pool
    Given a waiting job that both VMs have room for
    When version 8 sends the queue to the new pool
    And a round is planned
    Then both tasks have a claim on "vm-1"

  Scenario: Tasks at work stay where they are
    Given a job whose tasks are claimed in the old pool
    When the starts are ordered
    And 2 of them is reported as running
    And version 8 sends the queue to the new pool
    And rounds are planned for 4 s
    Then both runs go on in the old pool

  Scenario: Claims whose start was not ordered are withdrawn
    Given a job whose tasks are claimed in the old pool
    When version 8 sends the queue to the new pool
    And a round is planned
    And a round is planned
    Then no start is ordered in the old pool
    And both tasks have a claim on "vm-1"

  Scenario: A start that may have been lost is blocked before the next one
    Given a job whose tasks are claimed in the old pool
    When the starts are ordered
    And version 8 sends the queue to the new pool
    And a round is planned
    Then no start is ordered in the old pool
    When rounds are planned for 3 s
    Then both runs are stopped in the old pool
    When the worker of the old pool stops both tasks
    And a round is planned
    Then both tasks have a claim on "vm-1"

  Scenario: A gang of which a part runs starts as a whole
    Given a gang whose members are claimed in the old pool
    When the starts are ordered
    And 1 of them is reported as running
    And version 8 sends the queue to the new pool
    And rounds are planned for 4 s
    Then the other member's start is ordered in the old pool

  Scenario: A gang that has not started is withdrawn as a whole
    Given a gang whose members are claimed in the old pool
    When version 8 sends the queue to the new pool
    And a round is planned
    And a round is planned
    Then no start is ordered in the old pool
    And both tasks have a claim on "vm-1"

  Scenario Outline: The next leader does not go back to an older config
    Given a waiting job that both VMs have room for
    When version 8 sends the queue to the new pool
    And a round is planned
    And another entry leads that has read version <version> only
    And a round is planned
    Then both tasks have a claim on "vm-1"

    Examples:
      | version |
      | 0       |
      | 7       |

  Scenario Outline: A claim in the old pool is taken over and withdrawn
    # The former leader may have ordered its start.
    Given a job whose tasks are claimed in the old pool
    When the starts are ordered
    And version 8 sends the queue to the new pool
    And a round is planned
    And another entry leads that has read version <version> only
    And rounds are planned for 1 s
    Then both runs are stopped in the old pool

    Examples:
      | version |
      | 0       |
      | 7       |

  Scenario: A queue whose route is removed keeps its last rules
    Given a waiting job that both VMs have room for
    When version 8 sends the queue to the new pool
    And a round is planned
    And version 9 has no route
    And another entry leads that has read version 0 only
    And a round is planned
    Then both tasks have a claim on "vm-1"

  Scenario: A queue whose route is removed before its rules are stored
    Given a waiting job that both VMs have room for
    When version 8 sends the queue to the new pool
    And the leader applies it and has not stored it yet
    And version 9 has no route
    And the leader applies it and has not stored it yet
    Then its pool is still the changed one

  Scenario Outline: A queue is known by its address, then by host and name
    Given a waiting job that both VMs have room for
    When version 8 has it at <address> as <name>
    And a round is planned
    Then both tasks have a claim on "<vm>"

    Examples:
      | address            | name | vm   |
      | example.org/q/     | q    | vm-1 |
      | example.org/q/     | p    | vm-1 |
      | Example.ORG/q/     | p    | vm-1 |
      | example.org/moved/ | q    | vm-1 |
      | example.org/moved/ | p    | vm-0 |
      | example.com/q/     | q    | vm-0 |

  Scenario: A queue that is renamed and then moved is followed
    Given a waiting job that both VMs have room for
    When version 8 has it at example.org/q/ as p
    And a round is planned
    And another entry leads that has read version 0 only
    And version 9 has it at example.org/moved/ as p
    And a round is planned
    Then both tasks have a claim on "vm-1"
    And its pool is the changed one, also for the next leader

  Scenario Outline: Each rule of the queue follows the config
    Given a waiting job that both VMs have room for
    When version 8 changes the <field> of the queue
    Then its <field> is the changed one, also for the next leader

    Examples:
      | field            |
      | pool             |
      | priority         |
      | max_attempts     |
      | objective_factor |
      | objective_ms     |
      | advice_valid_ms  |

  Scenario: A task without attempts left is not started
    Given a job of which a task has failed 2 of 4 times
    When version 9 allows 2 attempts
    And a round is planned
    Then the job has failed, and no run was started

  Scenario: A task with attempts left is started
    Given a job of which a task has failed 2 of 4 times
    When version 9 allows 3 attempts
    And a round is planned
    Then the task is claimed again

  Scenario: A queue that gains an adviser asks it before the next start
    Given a waiting job that both VMs have room for
    And an adviser that allows no worker yet
    When version 8 changes the advice_valid_ms of the queue
    And a round is planned
    Then no task is claimed in any pool
    And the adviser is queried for "vm-0" only

  Scenario: The record of a queue is kept as long as its jobs
    Given a waiting job that both VMs have room for
    When version 8 sends the queue to the new pool
    And a round is planned
    Then the queue's record is dropped once no job of it is left
