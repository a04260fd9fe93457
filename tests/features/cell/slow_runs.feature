Feature: The search for moves of slow runs is bounded

  # Load: services are busy in all of the cell, so that all best-effort runs are
  # slow. Reports, leases and renewals wait while the leader looks for moves.
  Scenario: Alike runs are not checked against all VMs one by one
    Given a leader with 21 VMs, 1 of them full of other work
    And slow best-effort runs of 40 jobs of 2 sizes on the rest
    When the leader looks for runs to move
    Then it moves 0 runs, each from another VM
    And it has checked no more than 42 times whether a run fits a VM

  Scenario: Runs of many sizes are not checked against all VMs one by one
    Given a leader with 21 VMs, 1 of them full of other work
    And slow best-effort runs of 160 jobs of 160 sizes on the rest
    When the leader looks for runs to move
    Then it moves 0 runs, each from another VM
    And it has checked no more than 1344 times whether a run fits a VM

  Scenario: Slow runs move as far as there is room
    Given a leader with 21 VMs, 1 of them full of other work
    And slow best-effort runs of 40 jobs of 2 sizes on the rest
    And a further VM with room for 3 of them
    When the leader looks for runs to move
    Then it moves 3 runs, each from another VM

  Scenario: Runs of many sizes have their turn, one check after the other
    Given a leader with 21 VMs, 1 of them full of other work
    And slow best-effort runs of 160 jobs of 160 sizes on the rest
    And a further VM that only the run with the least time left fits
    When the leader looks for runs to move 4 times
    Then it moves 1 runs, each from another VM
