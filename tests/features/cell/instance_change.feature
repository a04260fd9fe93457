Feature: Calls in flight while a new instance of the worker checks in

  Scenario: An acknowledgement in flight does not hide an end of a new instance
    # The poll fails only after the check-in, and is executed still later.
    Given an agent whose worker lists an end as done
    When the leader acknowledges it and the poll that says so is in flight
    And the worker restarts under its id after 0 s
    Then the worker is not reported
    When the poll in flight is unanswered
    Then the worker is not reported
    When 14 s pass at the agent
    Then the worker is reported and no run is stopped there

  Scenario: An acknowledgement for a former instance is none for the new one
    # The worker would list the ends of the new instance for good.
    Given an agent whose worker lists an end as done
    When the leader acknowledges it and the poll that says so is in flight
    And the worker restarts under its id after 0 s
    And the new instance answers the poll in flight
    And it lists an end as done that the leader acknowledges
    Then the next poll acknowledges end 1 and is answered at once

  Scenario: Runs are stopped first if the agent restarted before the worker
    # Calls of the former agent are executed up to 12 s late, also after its
    # successor has reported the former instance.
    Given a leader with 2 VMs that work on a job of 4 tasks
    When the agent of "vm-0" restarts and reports the same instance
    And the worker of "vm-0" restarts under its id 5 s later
    Then the tasks on "vm-0" are not claimed elsewhere and are to be stopped

  Scenario: Runs are claimed at once if the agent restarted long before
    Given a leader with 2 VMs that work on a job of 4 tasks
    When the agent of "vm-0" restarts and reports the same instance
    And the worker of "vm-0" restarts under its id 14 s later
    Then all its tasks are claimed with a higher run
