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

  Scenario: A new instance is followed although the time of day was set back
    Given an agent whose worker was started at 5000 ms
    When the worker restarts under its id at 4000 ms and answers a poll
    Then the worker is reported and no run is stopped there

  Scenario: A delayed check-in of a former instance is ignored
    Given an agent whose worker was started at 5000 ms
    When a check-in of an instance that was started at 4000 ms arrives
    Then the instance that was started at 5000 ms is reported

  Scenario: Runs on an instance with a later start time are released
    Given a leader with 2 VMs that work on a job of 4 tasks
    When the worker of "vm-0" restarts with an earlier start time
    Then all its tasks get a second run

  Scenario: Runs are kept until an instance born earlier has listed its own
    Given a leader with 2 VMs that work on a job of 4 tasks
    When an instance of "vm-0" born earlier is reported without its runs
    Then its tasks keep their first run

  Scenario: Starts of released runs are blocked if the agent restarted too
    # The leader has released the claims, so that it does not keep them.
    Given a leader with 2 VMs that work on a job of 4 tasks
    When the tasks on "vm-0" end as done
    And the worker and the agent of "vm-0" restart soon after
    Then the runs that ended on "vm-0" are to be stopped
    When the agent of "vm-0" reports that these can't start
    Then no run on "vm-0" is to be stopped

  Scenario: A late start is stopped while the new instance is not reported
    # A call of a former agent may start it. The leader can't stop what runs on
    # an instance that it does not know, and releases the claim in time.
    Given an agent whose worker lists an end as done
    When the leader acknowledges it and the poll that says so is unanswered
    And the worker restarts under its id after 4 s
    And it lists a run that the agent did not start
    Then the worker is not reported
    And that run is stopped

  Scenario: A late notice of a former instance's end does not close a VM
    # Load: the notice of a worker that ends as planned is held up until the
    # worker is back under its id. The VM got no more work.
    Given an agent whose worker was started at 1 ms
    When a notice arrives that the worker ends
    And a poll lists no run
    And its leader orders a second run
    Then the worker is reported as ready and the start is sent

  Scenario: No run is started between a notice and the next answer
    Given an agent whose worker was started at 1 ms
    When a notice arrives that the worker ends
    And its leader orders a second run
    Then the start is refused as "unreachable"
    And the worker is not called

  Scenario: The answer to a poll that was sent before a notice confirms nothing
    # The worker ends at once after its notice.
    Given an agent whose worker was started at 1 ms
    When a notice arrives that the worker ends while a poll is under way
    And the worker answers that poll
    And its leader orders a second run
    Then the start is refused as "unreachable"
    And the worker is not called
