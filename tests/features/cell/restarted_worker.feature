Feature: Calls meant for a worker's former instance

  Scenario: A late copy of a start does not run an ended task again
    # Load: the first call of a start stays unanswered, the second one starts
    # the run, and the worker restarts under its id before the first arrives.
    Given an agent whose worker carries out a start on the second call
    When the run ends as done and the end is acknowledged
    And the worker restarts under its id after 4 s
    Then the run is stopped there before the worker is reported

  Scenario: A late copy of a start is blocked at each further instance
    Given an agent whose worker carries out a start on the second call
    When the run ends as done and the end is acknowledged
    And the worker restarts under its id after 2 s
    And the worker restarts under its id after 2 s
    Then the run is stopped there before the worker is reported

  Scenario: A run that a new instance is stopping is not reported as ended
    # Load: a start reaches the new instance before that has checked in. A stop
    # takes up to 0.9 s, in which the leader would start the task elsewhere.
    Given an agent whose start is executed by the worker's next instance
    When that instance checks in and confirms the stop of the run
    Then the worker is not reported
    When a poll lists the run as running
    Then the worker is not reported
    When a poll lists the run as stopped
    Then the worker is reported with the end of the run

  Scenario: A start that the next instance answers crashed no instance
    # Load: the worker crashes before a start is called, and its next instance
    # executes the call before it has checked in.
    Given an agent whose start is executed by the worker's next instance
    When that instance checks in and confirms the stop of the run
    Then no run is suspected of the crash

  Scenario: A stop confirmed by a former instance blocks nothing at the next
    Given an agent whose start is unanswered and whose run is being stopped
    When the worker restarts under its id after 0 s
    And the former instance confirms the stop
    And a poll lists no run
    Then the worker is not reported
    When the new instance confirms the stop
    And a poll lists no run
    Then the worker is reported and no run is stopped there

  Scenario: A start is not blocked once its late copies are no longer possible
    Given an agent whose worker carries out a start on the second call
    When the run ends as done and the end is acknowledged
    And the worker restarts under its id after 14 s
    Then the worker is reported and no run is stopped there

  Scenario: A late acknowledgement does not hide an end of a new instance
    # The new instance numbers its ends from 1 again and would forget those up
    # to the acknowledged one, which the agent has not seen.
    Given an agent whose worker lists an end as done
    When the leader acknowledges it and the poll that says so is unanswered
    And the worker restarts under its id after 4 s
    Then the worker is not reported
    When 10 s pass at the agent
    Then the worker is reported and no run is stopped there

  Scenario: A new instance that answered a call of its own is back at once
    # It refuses a late acknowledgement, so that no task has to wait for it.
    Given an agent whose worker lists an end as done
    When the leader acknowledges it and the poll that says so is unanswered
    And the worker restarts under its id after 1 s
    Then the worker is not reported
    When a poll lists no run
    Then the worker is reported and no run is stopped there

  Scenario: The answer to a poll of the former instance lists no runs
    # The new instance has not seen a token of its own: it would execute a
    # start meant for the former one after this answer.
    Given an agent whose worker lists an end as done
    When a poll is under way and the worker restarts under its id
    And the new instance answers that poll
    Then the worker is reported without its runs
    When a poll lists no run
    Then the worker is reported with its runs

  Scenario: No start is sent once a later instance has answered
    # Load: check-ins of the new instance are lost for a while.
    Given an agent whose worker lists an end as done
    When a poll is answered by an instance that has not checked in
    And its leader orders a second run
    Then the worker is not called
    And the start is refused as "unreachable"

  Scenario: Starts go on once the instance answers again
    # One answer with another start time may be damaged.
    Given an agent whose worker lists an end as done
    When a poll is answered by an instance that has not checked in
    And a poll lists no run
    And its leader orders a second run
    Then the worker is called

  Scenario: Polls that the former instance left unanswered do not count
    Given an agent whose worker lists an end as done
    When a poll is unanswered
    And a poll is under way and the worker restarts under its id
    And that poll is unanswered
    And a poll is unanswered
    Then the next poll renews the lease

  Scenario: An instance with an earlier start time refuses former calls
    # Load: the time of day is set back and the worker restarts.
    Given an agent whose worker lists an end as done
    When the leader acknowledges it and the poll that says so is unanswered
    And the worker restarts under its id with an earlier start time
    Then the worker is not reported
    And the next poll has a higher token than all calls before
    When a poll lists no run
    Then the worker is reported and no run is stopped there

  Scenario: Each further instance refuses the calls to all former ones
    Given an agent whose worker lists an end as done
    When the worker restarts under its id with an earlier start time
    Then the next poll has a higher token than all calls before
    When the worker restarts under its id with an earlier start time
    Then the next poll has a higher token than all calls before
    When the worker restarts under its id after 1 s
    Then the next poll has a higher token than all calls before

  Scenario Outline: A restarted agent is not refused for good
    # Load: the former agent's polls have reached the instance, with the later
    # start time of the one before.
    Given an agent whose worker lists an end as done
    When the agent restarts and the worker has seen the token of <ahead_s> s later
    Then a poll is taken after at most <refusals> refused ones
    And the refusals are logged

    Examples:
      | ahead_s | refusals |
      | 2       | 2        |
      | 60      | 6        |
      | 86400   | 17       |

  Scenario: Instances are told apart after any number of refused polls
    # Load: an agent follows a former leader while its worker follows the next.
    Given an agent whose worker lists an end as done
    When 60 polls are refused for their token
    And the worker restarts under its id after 1 s
    Then the next poll has a higher token than all calls before

  Scenario: Instances are told apart whatever their start times
    Given an agent whose worker lists an end as done
    When the worker restarts under its id with start time 4398046511103
    Then the next poll has a higher token than all calls before
    When the worker restarts under its id after 1 s
    Then the next poll has a higher token than all calls before
    When a leader of a later term sends orders
    Then the next poll has a higher token than all calls before

  Scenario: A poll from before a later call to another instance lists no runs
    # Its token is lower than that of a call which may still be executed.
    Given an agent whose worker lists an end as done
    When a poll is under way, and a delayed check-in and the worker's follow
    And the worker answers the poll under way
    Then the worker is reported without its runs

  Scenario: Calls of a later term have higher tokens
    Given an agent whose worker lists an end as done
    When the worker restarts under its id with an earlier start time
    And a leader of a later term sends orders
    Then the next poll has a higher token than all calls before

  Scenario: Polls acknowledge an end until one is answered, and not again
    Given an agent whose worker lists an end as done
    When the leader acknowledges it
    Then the next poll acknowledges end 1 and is answered at once
    When the worker answers that poll
    Then the next poll acknowledges end 0 and waits for an end

  Scenario: The first poll of an agent is answered at once
    # Load: agents restart in turn. A worker is reported, and its lease renewed,
    # only once it has answered a poll.
    Given an agent whose worker has not answered yet
    Then the next poll acknowledges end 0 and is answered at once
    When the worker answers that poll
    Then the next poll acknowledges end 0 and waits for an end

  Scenario: Polls acknowledge nothing while the worker does not answer
    Given an agent whose worker lists an end as done
    When a poll is unanswered
    And the leader acknowledges it
    Then the next poll acknowledges end 0 and is answered at once

  Scenario: Runs on a former instance are stopped first if the agent restarted
    # The restarted agent does not know which calls of its predecessor are
    # unanswered.
    Given a leader with 2 VMs that work on a job of 4 tasks
    When the worker and the agent of "vm-0" restart, the worker under its id
    Then the tasks on "vm-0" are not claimed elsewhere and are to be stopped
    When the agent of "vm-0" reports that their starts are blocked
    Then all its tasks are claimed with a higher run

  Scenario: Runs on a former instance are claimed at once if the agent lives
    Given a leader with 2 VMs that work on a job of 4 tasks
    When the worker of "vm-0" restarts under its id
    Then all its tasks are claimed with a higher run

  Scenario: A task does not start elsewhere while a late start of it runs
    # Load: all workers restart again and again. A late start is carried out by
    # a new instance, and the task's claim elsewhere is released meanwhile.
    Given a leader with 2 VMs that work on a job of 4 tasks
    When the worker of "vm-1", not reported yet, runs a task of "vm-0"
    And the worker of "vm-0" restarts under its id
    Then that task waits, and the other one is claimed with a higher run
    When 900 ms pass without another such report
    Then that task waits, and the other one is claimed with a higher run
    When 200 ms pass without another such report
    Then all its tasks are claimed with a higher run

  Scenario: An order from before the report of an expired lease starts nothing
    # The leader has released the claim when it arrives, and may have claimed
    # the task elsewhere.
    Given an agent whose worker has been silent until its lease expired
    When it reports so, the worker answers again and an older order arrives
    Then the worker is not called
    When the leader answers the report with an order of the next run
    Then the worker is called

  Scenario: A lease meant for the former instance is counted for the next
    # Load: a poll that a worker left unanswered before it was back under its id
    # gave the next instance the longest lease; its VM was cut off just after.
    Given an agent whose worker has leases of at most 10 s
    When the worker is back under its id after 0.5 s
    Then the agent reports that runs may go on for 10205 ms
    When it answers a poll of its own 0.2 s later
    Then the agent reports that runs may go on for 10205 ms
    When it answers a poll of its own 3.0 s later
    Then the agent reports that runs may go on for 7205 ms

  Scenario: A silent worker may work on by a lease for its former instance
    Given an agent whose worker has leases of at most 10 s
    When the worker is back under its id after 0.5 s
    And it answers a poll of its own 0.2 s later
    And 7.0 s later all polls have failed
    Then the worker's lease counts as held
    When 4.0 s later all polls have failed
    Then the worker's lease counts as expired

  Scenario Outline: No lease is counted that can't have reached the instance
    Given an agent whose worker has leases of at most 10 s
    When the worker is back under <id> after <gone> s
    And it answers a poll of its own 0.2 s later
    Then the agent reports that runs may go on for 0 ms

    Examples:
      | id         | gone |
      | another id | 0.5  |
      | its id     | 20.0 |

  Scenario Outline: An agent that has just started bounds its worker's lease
    # Only its predecessor knew what it had sent to a former instance.
    Given an agent that starts beside a worker of <age> s with leases of at most <hold> s
    Then the agent reports that runs may go on for <left> ms

    Examples:
      | age | hold | left  |
      | 8   | 10   | 10205 |
      | 8   | 6    | 6123  |
      | 20  | 10   | 5103  |
      | 30  | 10   | 0     |

  Scenario: Tasks of a lost VM start elsewhere once no former lease holds them
    Given a leader with 2 VMs that work on a job of 4 tasks
    When "vm-0" reports that runs may go on for 9000 ms, and is lost
    Then its tasks are claimed elsewhere 9.0 to 10.0 s later

  Scenario: Tasks of a lost VM don't wait for leases that it can't have
    Given a leader with 2 VMs that work on a job of 4 tasks
    When "vm-0" reports that runs may go on for 0 ms, and is lost
    Then its tasks are claimed elsewhere 5.0 to 6.0 s later

  Scenario Outline: Workers with long leases restart and are cut off
    Given a cell of 4 VMs that gets only tasks that last, with leases of at most 10 s, for seeds <seeds>
    When jobs are submitted for 40 s with disruptions "<troubles>"
    And the cell is undisturbed for 45 s
    Then no guarantee of the cell is violated
    And all jobs of the cell have ended or are running

    Examples:
      | seeds | troubles                                      |
      | 14    | worker_restarts and agents_cut and entry_kill |
      | 19    | worker_restarts and agents_cut and entry_kill |
      | 22    | worker_restarts and agents_cut and entry_kill |
      | 36    | worker_restarts and agents_cut and entry_kill |
      | 38    | worker_restarts and agents_cut and entry_kill |
