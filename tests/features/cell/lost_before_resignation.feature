Feature: Tasks of a lost VM run again soon though their leader resigns

  # LOST: a resignation named no silent VMs, so that the next leader counted
  # the leases of a lost VM anew.
  Scenario Outline: A VM is lost and then its leader stops as planned
    Given 3 cells of 6 VMs that work on long-running jobs
    When a VM is lost for good and its leader stops <after> s later
    Then the VM's tasks run again within 9 s of its loss
    And no guarantee of the cell is violated

    Examples:
      | after |
      | 1.5   |
      | 3.0   |
      | 4.5   |

  Scenario Outline: A VM is cut off and then its leader stops as planned
    Given 3 cells of 6 VMs that work on long-running jobs
    When a VM is cut off for 9 s and its leader stops <after> s later
    And 14 s pass in the cells
    Then no guarantee of the cell is violated

    Examples:
      | after |
      | 0.5   |
      | 1.5   |
      | 4.5   |
