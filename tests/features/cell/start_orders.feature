Feature: Starts that the leader has abandoned

  Scenario: A VM whose lease has expired gets no new one for abandoned starts
    # Store outage: a claim was stored and its start ordered while the leader
    # could not grant; when it could again, the agent made the start.
    Given a leader and an agent whose lease ends soon
    When the leader orders a start that it can't grant a lease for
    And the VM's lease expires and the next run is claimed elsewhere
    And the leader may grant leases again
    Then the worker gets no start of the first run
    When the agent reports to the leader again
    Then the worker gets no start of the first run
    And the agent has a lease
