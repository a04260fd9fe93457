Feature: A cell keeps its guarantees while its queue changes pools

  Scenario Outline: The queue moves beside random disruptions
    Given a cell of 6 VMs in two pools and 3 entries for seeds <seeds>
    When jobs are submitted for 40 s with disruptions "<troubles>"
    And the cell is undisturbed for 45 s
    Then no guarantee of the cell is violated
    And all jobs of the cell have ended or are running

    Examples:
      | seeds | troubles                       |
      | 1-4   | queue_moves                    |
      | 1-3   | queue_moves and entry_kill     |
      | 1-3   | queue_moves and entry_freeze   |
      | 1-3   | queue_moves and orders_cut     |
      | 1-3   | queue_moves and store_lost     |
      | 1-3   | queue_moves and power_off_all  |
      | 1-3   | queue_moves and late_orders    |

  Scenario: A queue that stays with the other pool starts nothing in the former
    Given a cell of 6 VMs in two pools and 3 entries for seeds 1-4
    When the queue moves to the other pool, and jobs are submitted for 20 s
    Then no guarantee of the cell is violated

  Scenario: The checks notice a leader that keeps the former pools
    Given a cell of 6 VMs in two pools and 3 entries for seeds 1-4
    And the program has the fault "configs are not applied to accepted jobs"
    When the queue moves to the other pool, and jobs are submitted for 20 s
    Then the guarantee "ROUTE" of the cell is violated
