Feature: Leases last while the store and the links are slow

  Scenario: Slow renewals and late reports end no lease
    # Load: the store takes a second for each record and reports are seconds
    # late. A leader that may not grant leases meanwhile ends runs that work.
    Given a cell of 6 VMs and 3 entries that gets only tasks that last for seeds 1-6
    And the releases of VMs whose lease expired are counted
    When jobs are submitted for 40 s with disruptions "store_slow and link_slow"
    And the cell is undisturbed for 5 s
    Then no VM was released
    And no guarantee of the cell is violated
