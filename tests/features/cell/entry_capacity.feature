Feature: The entry that can carry a cell leads it

  # LOST: an entry whose processor was used up by reports and orders led, and
  # granted leases that had no time left.
  Scenario: An entry that can't carry its cell is the first to be up
    Given 3 cells of 40 VMs with a narrow entry that takes 30 ms for a message
    And it works on 8 long-running jobs
    And the releases of VMs whose lease expired are counted
    When all lose power for 1 s, and the other entries for 2 s more
    And 25 s pass in the cells
    Then a wide entry leads each cell
    And no VM was released
    And no guarantee of the cell is violated

  Scenario: A wide entry replaces a narrow one that leads, and no lease ends
    Given 3 cells of 40 VMs with a narrow entry that takes 8 ms for a message
    And it works on 8 long-running jobs
    And the releases of VMs whose lease expired are counted
    When all lose power for 1 s, and the other entries for 4 s more
    Then the narrow entry leads each cell
    When 8 s pass in the cells
    Then a wide entry leads each cell
    And no VM was released
    And no guarantee of the cell is violated

  Scenario: A narrow entry leads while no other is up
    Given 3 cells of 6 VMs with a narrow entry that takes 0 ms for a message
    And it works on 8 long-running jobs
    And the releases of VMs whose lease expired are counted
    When all wide entries are gone for 10 s
    And 9 s pass in the cells
    Then the narrow entry leads each cell
    When 5 s pass in the cells
    Then a wide entry leads each cell
    And no VM was released
    And no guarantee of the cell is violated

  Scenario Outline: An entry waits for those that exceed it, and replaces a leader that it exceeds
    Given an entry of <own> that reads the store, with registered entries of <others>
    When e-1 has led for 10 s
    Then it <replaces> e-1
    And it takes over <delay> s after the first moment if e-1 resigns

    Examples:
      | own       | others              | replaces        | delay |
      | 2150/200  | 2150/200            | doesn't replace | 0.0   |
      | 516/20    | 2150/200            | doesn't replace | 0.4   |
      | 2150/200  | 516/20              | replaces        | 0.0   |
      | 2150/200  | 516/20 and 2150/200 | replaces        | 0.0   |
      | 516/20    | 516/20 and 2150/200 | doesn't replace | 0.4   |
      | 2150/20   | 516/200             | doesn't replace | 0.0   |
      | 600/20    | 516/20              | doesn't replace | 0.0   |
      | 516/40    | 516/20              | replaces        | 0.0   |
      | 2150/200  | 0/0                 | doesn't replace | 0.0   |
      | 0/0       | 2150/200            | doesn't replace | 0.0   |

  Scenario: Entries replace a leader one after the other
    Given 12 entries of 2150/200 that follow a leader of 516/20
    Then they replace it at times that are spread over 1 s or more
