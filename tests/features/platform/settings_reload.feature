Feature: Settings that change while an entry runs

  # LOST: an entry logged that its settings were reloaded and went on to query
  # the former adviser; once that was gone, nothing started on advised queues.

  Scenario Outline: The adviser gets another address
    Given an entry process, a VM and two advisers, of which the settings name the first
    When a caller submits advised job 1
    Then advised job 1 is "completed" within 8 s
    And the first adviser was queried
    When the settings name the second adviser, <signal>
    And <change>
    And a caller submits advised job 2
    Then advised job 2 is "completed" within 8 s
    And the second adviser was queried

    Examples:
      | signal           | change                        |
      | with a SIGHUP    | the first adviser is gone     |
      | with a SIGHUP    | the first adviser stays       |
      | without a signal | the first adviser is gone     |

  Scenario: An entry that started without adviser gets one
    Given an entry process, a VM and two advisers, of which the settings name none
    When a caller submits advised job 1
    And the settings name the second adviser, with a SIGHUP
    Then advised job 1 is "completed" within 8 s

  Scenario: An address that can't be used leaves the former adviser
    Given an entry process, a VM and two advisers, of which the settings name the first
    When the settings name "nonsense" as adviser, with a SIGHUP
    And a caller submits advised job 1
    Then advised job 1 is "completed" within 8 s
    And the first adviser was queried

  Scenario: The store gets another address
    Given an entry process, a VM and two advisers, of which the settings name the first
    When the store moves to another address, and the settings name it
    And a caller submits advised job 1
    Then advised job 1 is "completed" within 12 s

  Scenario Outline: The other entries are told what an entry's machine can carry
    Given an entry process, a VM and two advisers, of which the settings name none
    Then the entry is registered with 0 millicores and 0 kbit/s
    When the settings name limits of <limits>, with a SIGHUP
    Then the entry is registered with <millicores> millicores and <link> kbit/s

    Examples:
      | limits                                            | millicores | link   |
      | {"CpuShare": 0.717, "Cores": 3, "LinkMbps": 200}  | 2151       | 200000 |
      | {"CpuShare": 0.5, "Cores": null, "LinkMbps": 2.5} | 500        | 2500   |

  Scenario: An entry works without limits that can be used
    Given an entry process, a VM and two advisers, of which the settings name none
    When the settings name limits of {"CpuShare": 0.5, "LinkMbps": 20}, with a SIGHUP
    Then the entry is registered with 500 millicores and 20000 kbit/s
    When the settings name limits of [3], with a SIGHUP
    Then the entry is registered with 0 millicores and 0 kbit/s
    When the settings name limits of {"CpuShare": 0.5, "LinkMbps": 20}, with a SIGHUP
    Then the entry is registered with 500 millicores and 20000 kbit/s
    When the settings name limits of {"CpuShare": -1, "LinkMbps": 1e300}, with a SIGHUP
    Then the entry is registered with 0 millicores and 0 kbit/s
    When the settings name limits of null, with a SIGHUP
    And the settings name the second adviser, with a SIGHUP
    And a caller submits advised job 1
    Then advised job 1 is "completed" within 8 s
