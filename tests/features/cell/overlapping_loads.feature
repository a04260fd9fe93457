Feature: The history between two loads of the store isn't known

  # TWICE: an entry that took over counted leases from a renewal that was not
  # the last one of the former leader. Two loads at a time, one for a caller,
  # hid that the history between them was missing.
  Scenario: The store is loaded again after callers have asked
    Given a store whose first snapshot has term 4 and whose second has term 5
    When a tail loads it, while two callers ask, and its history is deleted
    Then the leases of the former leader are counted from the takeover
