Feature: The history between two loads of the store isn't known

  # TWICE: an entry that took over counted leases from a renewal that was not
  # the last one of the former leader.
  Scenario: Two loads of the store overlap
    Given a store whose first snapshot has term 4 and whose second has term 5
    When a tail loads both at the same time and the second one ends later
    Then the leases of the former leader are counted from the takeover
