Feature: A round of planning is bounded, whatever waits

  # Load: hundreds of small jobs wait as all VMs come back. Reports, leases and
  # renewals wait while a leader plans.
  Scenario: A burst of jobs is claimed over several rounds
    Given a leader that plans for 20 VMs of 8 processors
    And 60 jobs of 2 tasks of 1 processor wait
    When the leader plans 20 rounds of 200 ratings
    Then no round took more than 244 ratings
    And all tasks were claimed, those of earlier jobs first

  Scenario: A burst of jobs is claimed over several rounds of 256 claims
    Given a leader that plans for 100 VMs of 8 processors
    And 300 jobs of 2 tasks of 1 processor wait
    When the leader plans 3 rounds of 1_000_000 ratings
    Then the rounds claimed 256, 256 and 88 tasks

  # Load: a backlog of wide tasks for which there is no room, and jobs behind it.
  Scenario: Steps that can't be placed don't keep others from their turn
    Given a leader that plans for 4 VMs of 8 processors
    And 40 urgent jobs of sizes that fit no VM wait
    And 1 jobs of 2 tasks of 1 processor wait
    When the leader plans 45 rounds of 4 ratings
    Then all tasks of jobs that fit were claimed

  Scenario: A step that can't be placed has its turn again once there is room
    Given a leader that plans for 1 VMs of 8 processors
    And 10 jobs of 1 tasks of 8 processor wait
    When the leader plans 3 rounds of 1 ratings
    And the claimed run ends
    And the leader plans 12 rounds of 1 ratings
    Then 2 jobs have been claimed

  Scenario: A task that fits is not left out beside tasks that don't
    Given a leader that plans for 4 VMs of 8 processors
    And 3 urgent jobs of sizes that fit no VM wait
    And 1 jobs of 2 tasks of 1 processor wait
    When the leader plans 1 rounds of 1_000_000 ratings
    Then all tasks of jobs that fit were claimed

  Scenario: A wide step is cut off and goes on in the next round
    Given a leader that plans for 100 VMs of 8 processors
    And 1 jobs of 300 tasks of 1 processor wait
    When the leader plans 3 rounds of 1_000_000 ratings
    Then the rounds claimed 256, 44 and 0 tasks

  # LOST: a task that lasts is to run again within seconds.
  Scenario: A long-running step has its turn in each round
    Given a leader that plans for 20 VMs of 8 processors
    And 60 jobs of 2 tasks of 1 processor wait
    And a long-running job of 3 tasks of 1 processors waits
    When the leader plans 1 rounds of 1 ratings
    Then 4 tasks were claimed

  Scenario: A backlog without room is not rated on all VMs step by step
    Given a leader that plans for 20 VMs of 8 processors
    And 500 jobs of 2 tasks of 1 processor wait
    When the leader plans 2 rounds of 1_000_000 ratings
    Then no round took more than 1780 ratings
    Then the last round took no more than 20 ratings

  # Load: a gang waits that is wider than the room that is left.
  Scenario Outline: A gang is not placed member by member where it has no room
    Given a leader that plans for 20 VMs of 8 processors
    And a gang of <tasks> tasks of <cpu> processors, <per_vm> on a VM at most, waits
    When the leader plans 1 rounds of 1_000_000 ratings
    Then no round took more than <ratings> ratings
    And <claims> tasks were claimed

    Examples:
      | tasks | cpu | per_vm | ratings | claims |
      | 160   | 1   | 0      | 3200    | 160    |
      | 161   | 1   | 0      | 0       | 0      |
      | 40    | 3   | 0      | 800     | 40     |
      | 41    | 3   | 0      | 0       | 0      |
      | 60    | 1   | 3      | 1200    | 60     |
      | 61    | 1   | 3      | 0       | 0      |

  # Load: all runs of a large cell report ends or progress at once, and batches
  # leave most of them to later ones. All were searched for each of its records.
  Scenario: A stored batch doesn't search what is not written yet
    Given a leader that plans for 4 VMs of 8 processors
    And 20 jobs of 1 tasks of 1 processor wait
    When the leader plans 1 rounds of 1_000_000 ratings
    And all claimed runs end and a batch with half of the ends is stored
    Then the ended jobs of the batch are gone, and nothing else was visited
