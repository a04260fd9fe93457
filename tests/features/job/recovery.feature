Feature: Batch work survives crashes, pauses and outages

  Scenario Outline: <first> and <second> violate no guarantee of batch work
    When faults "<first>" and "<second>" hit a batch cell with seed <seed>
    Then the batch cell violated no guarantee

    Examples:
      | first         | second         | seed |
      | entry_cut_off | vm_dies        | 2082 |
      | entry_dies    | vm_dies        | 3090 |
      | entry_pauses  | log_down       | 11   |
      | agent_restarts | agent_pauses  | 12   |
      | answers_lost  | entry_stops    | 13   |
      | messages_lost | rack_cut_off   | 14   |
      | clocks_drift  | entry_pauses   | 15   |

  Scenario: A planned stop of an entry and a crash of its VM lose no job
    Given a batch cell with 40 tasks
    When an entry of the batch cell stops while one of its VMs crashes
    Then every task of that VM is restarted within 25 s

  Scenario: A log outage with a paused leader lets no task lapse
    Given a batch cell with 40 tasks
    When the log goes down and a leading entry pauses for 3 s
    Then no task of the batch cell lapsed

  Scenario: Tasks survive a log outage of ten minutes
    Given a batch cell with 40 tasks
    When the log goes down for 600 s
    Then no task of the batch cell lapsed

  Scenario: A restarted agent does not repeat an attempt
    Given a batch cell with 40 tasks
    When a VM of the batch cell is replaced while its entry is cut off
    Then no attempt of the batch cell was started twice
