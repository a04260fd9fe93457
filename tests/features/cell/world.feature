Feature: A cell keeps its promises through any trouble

  Scenario Outline: Random troubles, alone and together
    Given a cell of 4 VMs and 3 entries for seeds <seeds>
    When jobs come for 40 s with "<troubles>"
    And the cell is calm for 45 s
    Then no promise of the cell is broken
    And all jobs of the cell have ended or run

    Examples:
      | seeds | troubles                     |
      | 1-3   | agent_kill                   |
      | 1-3   | agent_freeze                 |
      | 1-3   | entry_kill                   |
      | 1-3   | entry_freeze                 |
      | 1-3   | entry_cut                    |
      | 1-3   | link_cut                     |
      | 1-3   | store_down                   |
      | 1-3   | worker_crash                 |
      | 1-3   | late_orders                  |
      | 1-3   | drain                        |
      | 1-3   | power_off_all                |
      | 1-12  | all                          |

  Scenario Outline: The checks see a fault that is put in
    Given a cell of 4 VMs and 3 entries for seeds 1-12
    And the fault "<fault>" in the program
    When jobs come for 40 s with "all"
    Then a promise "<rule>" of the cell is broken

    Examples:
      | fault                       | rule  |
      | leases of lost VMs ignored  | TWICE |
      | steps start in any order    | ORDER |
      | attempts are not counted    | BUDGET |
      | room is not counted         | LIMIT |
      | labels are not looked at    | ROUTE |
