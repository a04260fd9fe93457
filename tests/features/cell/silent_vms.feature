Feature: A new leader counts the leases of its predecessor

  Scenario: A silent VM gets no lease before a renewal tells that it is back
    Given a leader whose VM has claims and is silent for 1.4 s
    When a renewal that names it is sent
    And the VM reports again
    Then a renewal is due at once
    And its orders grant no lease
    When a renewal that doesn't name it is stored
    Then its orders grant a lease

  Scenario: A silent VM is named with the rest of its lease
    Given a leader whose VM has claims and is silent for 1.4 s
    Then a renewal is due at once
    When a renewal that names it is sent
    Then one log line tells that it is silent, with the rest of its lease
    And the next leader counts its leases until they have expired

  Scenario: A silent VM is named with a lease longer than a leader grants
    # Load: a worker held the longest lease, meant for its former instance; the
    # next leader counted only what the former one can have granted.
    Given a leader whose VM has claims and is silent for 1.4 s
    When the VM reports that runs may go on for 10205 ms
    And a renewal that names it is sent
    Then the next leader counts its leases until that time

  Scenario: A VM that has not reported to a new leader yet isn't silent
    Given a leader that took over from one whose VM had claims
    Then a renewal names no VM for 1.2 s

  Scenario: Leases are counted from the last renewal that was read
    Given a follower that has read a renewal at 10.0 s
    When it reads its own takeover at 12.2 s
    Then it counts the leases of other VMs from 10.0 s

  Scenario: A renewal that is read together with the takeover counts
    Given a follower that has read a renewal at 10.0 s
    When it reads another renewal at 12.2 s
    And it reads its own takeover at 12.2 s
    Then it counts the leases of other VMs from 12.2 s

  Scenario: Leases are counted from a reload of the store
    # Renewals between the last read and the reload are not known.
    Given a follower that has read a renewal at 10.0 s
    When it reloads the store and finds its own takeover at 16.0 s
    Then it counts the leases of other VMs from 16.0 s

  Scenario: The record of an entry that lost the race for a term counts nothing
    Given a follower that has read a renewal at 10.0 s
    When it reads its own takeover at 12.2 s
    And it reads a takeover of another entry with the same term at 14.0 s
    Then it counts the leases of other VMs from 10.0 s

  Scenario: The leader counts from its takeover if it knows no former one
    Given a follower that has read no renewal
    When it reads its own takeover at 12.2 s
    Then it counts the leases of other VMs from 12.2 s

  Scenario: An earlier build's leases are counted from the takeover
    # Its leaders grant leases after other records than renewals, too.
    Given a follower that has read a renewal of an earlier build at 10.0 s
    When it reads its own takeover at 12.2 s
    Then it counts the leases of other VMs from 12.2 s
