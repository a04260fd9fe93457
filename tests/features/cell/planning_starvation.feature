Feature: Steps that can't be placed don't keep others from their turn

  # Starvation: the ratings for suspects used up the bound of each round.
  Scenario: Suspects that fit no VM wait
    Given a leader that plans for 20 VMs of 8 processors
    And a long-running job of 3 suspects of 9 processors waits
    And 5 jobs of 2 tasks of 1 processor wait
    When the leader plans 50 rounds of 100 ratings
    Then all tasks of jobs that fit were claimed

  # Starvation: a less urgent step got the room that appeared within a pass.
  Scenario: Room for a more urgent task appears within a pass
    Given a leader that plans for 1 VMs of 8 processors
    And 30 jobs of 1 tasks of 8 processor wait
    When the leader plans 2 rounds of 1 ratings
    And the claimed run ends
    And the leader plans 1 rounds of 1 ratings
    Then the 2 most urgent jobs have been claimed
