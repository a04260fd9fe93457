Feature: The time of day is set back

  Scenario: An agent that restarted after the time was set back is followed
    # Its start time is lower than that of its predecessor. Its reports were
    # ignored, its VM's lease expired, and runs that had ended as done were
    # started again elsewhere.
    Given a leader that follows an agent started at 2000 s
    When the agent restarts at 1000 s by the time of day
    And the leader probes it and the agent reports
    Then the leader applies the report and the agent gets a lease
    When a delayed report of the former agent arrives
    Then it is ignored

  Scenario: A lease for a former agent is none for the present one
    Given a leader that follows an agent started at 2000 s
    When the agent restarts at 1000 s by the time of day
    And the leader probes it
    Then the agent has no lease

  Scenario: Log lines are written while the time is set back
    Given a log output
    When the time of day is set back by an hour and a line is logged
    Then the line is written within a second
