Feature: A takeover by an entry that carries more ends no lease

  # LOST: an entry that reached the store, and no agent, replaced a leader that
  # worked.
  Scenario: Wide entries that reach no agent are up again
    Given 2 cells of 6 VMs with a narrow entry that takes 0 ms for a message
    And it works on 2 long-running jobs
    And the releases of VMs whose lease expired are counted
    When all wide entries are gone for 5 s
    And no wide entry reaches an agent
    And 20 s pass in the cells
    Then the narrow entry leads each cell
    And no VM was released
