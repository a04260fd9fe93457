Feature: Tasks that crash the workers that start them

  Scenario Outline: A task that crashes each worker is not started for good
    Given a cell of 4 VMs and 3 entries for seeds <seeds>
    When jobs are submitted for 40 s with disruptions "<troubles>"
    And the cell is undisturbed for 90 s
    Then no guarantee of the cell is violated
    And all jobs of the cell have ended or are running

    Examples:
      | seeds | troubles                                             |
      | 1-4   | deadly_task                                          |
      | 1-2   | deadly_task and worker_crash                         |
      | 1-2   | deadly_task and entry_kill                           |
      | 1-2   | deadly_task and late_orders                          |
      | 1-2   | deadly_task and agent_kill                           |
      | 1-2   | deadly_task and drain and power_off_all              |
      | 1-2   | deadly_task and link_cut and entry_cut and link_slow |
      | 2-3   | deadly_task and agent_kill                           |

  Scenario: The checks detect crashes that are not counted
    Given a cell of 4 VMs and 3 entries for seeds 1-2
    And the program has the fault "crashes are not counted"
    When jobs are submitted for 40 s with disruptions "deadly_task"
    Then the guarantee "BUDGET" of the cell is violated

  Scenario Outline: Only runs that started shortly before are suspected
    Given an agent whose worker has listed run "a" 2 s after
    And the start of "b" was answered 10 ms ago
    When the worker is back after 3 s under <which> id
    Then the agent suspects "b" of the crash, known to have started
    And the crash is reported for 15 s, also to another leader

    Examples:
      | which   |
      | its     |
      | another |

  Scenario: A run that was listed soon after its start is suspected
    Given an agent whose worker has listed run "a" 2 s after
    And the start of "b" was answered 100 ms ago
    And the worker has listed "a b" at once
    When the worker is back after 3 s under its id
    Then the agent suspects "b" of the crash, known to have started

  Scenario: A first run that has worked for longer is not suspected
    Given an agent whose worker has listed run "a" 2 s after
    And the start of "b" was answered 460 ms ago
    And the worker has held all polls for 430 ms, running "a b"
    When the worker is back after 3 s under its id
    Then the agent suspects no run of a crash

  Scenario: A start that may be carried out late is suspected
    Given an agent whose worker has listed run "a" 2 s after
    And the start of "b" was lost 8000 ms ago
    When the worker is back after 3 s under its id
    Then the agent suspects "b" of the crash, unknown to have started

  Scenario Outline: No run is suspected when a worker ends as announced
    Given an agent whose worker has listed run "a" 2 s after
    And the start of "b" was answered 10 ms ago
    And the worker has announced that it <how>
    When the worker is back after 3 s under its id
    Then the agent suspects no run of a crash

    Examples:
      | how    |
      | leaves |
      | drains |

  Scenario: No run is suspected when the agent went down with its worker
    Given an agent whose worker has listed run "a" 2 s after
    And the start of "b" was answered 10 ms ago
    And the agent has restarted and heard of the worker
    When the worker is back after 3 s under its id
    Then the agent suspects no run of a crash

  Scenario Outline: A task that crashed two workers is given up
    Given 4 VMs on which a <kind> job of <tasks> tasks is claimed
    When the worker of task 0 crashes, with it as the only suspect
    And all crashes are reported again
    Then the job is open
    And task 0 has no failed attempt and its VM is open
    When the worker of task 0 crashes, with it as the only suspect
    Then the job is failed
    And the job's stored state is failed

    Examples:
      | kind         | tasks |
      | plain        | 1     |
      | gang         | 2     |
      | long-running | 1     |

  Scenario: A crash counts though the claim was released before
    Given 4 VMs on which a plain job of 1 tasks is claimed
    When the worker of task 0 crashes, and the claim is released first
    And the worker of task 0 crashes, and the claim is released first
    Then the job is failed

  Scenario: A crash counts at the next leader too
    Given 4 VMs on which a plain job of 1 tasks is claimed
    When the worker of task 0 crashes, with it as the only suspect
    And another leader takes over from the store
    And all crashes are reported again
    Then the job is open
    When the worker of task 0 crashes, with it as the only suspect
    Then the job is failed

  Scenario: A task whose start may not have arrived is not given up soon
    Given 4 VMs on which a plain job of 1 tasks is claimed
    When its worker crashes before the start of task 0 is answered
    And the worker of task 0 crashes, with it as the only suspect
    Then the job is open
    When its worker crashes before the start of task 0 is answered
    Then the job is failed

  Scenario: A suspect that never starts alone is given up at last
    Given 4 VMs on which a plain job of 1 tasks is claimed
    When the worker of task 0 crashes, with a task of another job
    And the worker of task 0 crashes, with a task of another job
    And the worker of task 0 crashes, with a task of another job
    Then the job is open
    When the worker of task 0 crashes, with a task of another job
    Then the job is failed

  Scenario: A gang that fits on one VM only is given up after two crashes
    Given 1 VMs on which a gang job of 2 tasks is claimed
    When the worker of all tasks crashes, with all of them as suspects
    Then the job is open
    When the worker of all tasks crashes, with all of them as suspects
    Then the job is failed

  Scenario: Suspects start alone until they are proven
    Given 1 VMs on which a plain job of 3 tasks is claimed
    When the worker of all tasks crashes, with all of them as suspects
    Then the job is open
    And 1 of the suspects start now, each on a VM of its own

  Scenario: Suspects leave half of the VMs to others
    Given 4 VMs on which a plain job of 1 tasks is claimed
    When the worker of all tasks crashes, with all of them as suspects
    Then 1 of the suspects start now, each on a VM of its own
    When another job of 12 tasks is submitted
    Then none of its tasks starts on a VM with a suspect

  Scenario: A suspect starts though others start all the time
    Given 1 VMs on which a plain job of 1 tasks is claimed
    When 3 jobs of 1 tasks are submitted 300 ms apart
    And the worker of task 0 crashes, with it as the only suspect
    Then all suspects are claimed
    When the suspects that started are proven
    Then the job is open

  Scenario: A worker that crashed is not blamed for the runs that stalled on it
    Given 2 VMs on which runs of 3 jobs stall, the worker gone
    When the workers are back as new instances
    Then a long-running job of 2 tasks is claimed at once

  Scenario: A start that the worker's next instance outlives crashed no worker
    # Load: all workers crash again and again. Each start meets one that is
    # down, and the call that is repeated reaches its next instance.
    Given an agent whose start is lost and then executed by the next instance
    When that instance checks in 100 ms after the start
    Then the run is suspected of the crash
    When it answers a poll that was sent 490 ms after the start
    Then the run is not proven
    When it answers a poll that was sent 500 ms after the start
    Then the run is proven not to have crashed its worker

  Scenario: A start that crashed the next instance too stays suspected
    Given an agent whose start is lost and then executed by the next instance
    When an instance that began after the start checks in 100 ms after it
    Then the run is suspected of the crash
    When it answers a poll that was sent 900 ms after the start
    Then the run is not proven

  Scenario: A start that crashed the next instance after its check-in
    Given an agent whose start is lost and then executed by the next instance
    When that instance checks in 100 ms after the start
    And an instance that began after the start checks in 200 ms after it
    And it answers a poll that was sent 900 ms after the start
    Then the run is not proven

  Scenario: Instances are not told apart by clocks that may have drifted
    Given an agent whose start is lost and then executed by the next instance
    When that instance checks in 1100 ms after the start
    And it answers a poll that was sent 1900 ms after the start
    Then the run is not proven

  Scenario: A start that is called after a poll was unanswered is doubtful
    Given an agent whose worker has listed run "a" 2 s after
    And a poll is unanswered
    And the start of "b" was lost 100 ms ago
    When the worker is back after 1 s under its id
    Then the agent doubts that "b" crashed the worker

  Scenario: A run that was listed some time after its start is doubtful
    # It has not crashed the worker at once, but is not proven either.
    Given an agent whose worker has listed run "a" 2 s after
    And the start of "b" was answered 250 ms ago
    And the worker has listed "a b" at once
    When the worker is back after 1 s under its id
    Then the agent doubts that "b" crashed the worker

  Scenario Outline: A worker that is back at once was not crashed by its runs
    # Load: workers restart again and again. A run that ends by itself is listed
    # once, and its worker restarts before the next poll.
    Given an agent whose worker has listed run "a" 2 s after
    And the start of "b" was answered 120 ms ago
    And the worker has listed "a b" at once
    When its next instance begins <down_ms> ms later and checks in
    Then the agent <judges> that "b" crashed the worker

    Examples:
      | down_ms | judges         |
      | 100     | doubts         |
      | 980     | doubts         |
      | 1010    | does not doubt |

  Scenario: A run that was only listed at its start is not doubtful
    Given an agent whose worker has listed run "a" 2 s after
    And the start of "b" was answered 150 ms ago
    And the worker has listed "a b" at once
    When the worker is back after 1 s under its id
    Then the agent does not doubt that "b" crashed the worker

  Scenario Outline: A start that may have reached its worker is not doubtful
    Given an agent whose worker has listed run "a" 2 s after
    And a poll is unanswered
    And the start of "b" was <result> 100 ms ago
    And the worker has listed "<listed>" at once
    When the worker is back after 1 s under its id
    Then the agent does not doubt that "b" crashed the worker

    Examples:
      | result   | listed |
      | lost     | a      |
      | answered | a b    |

  Scenario: Starts that hardly reached their workers count less
    # Load: all workers crash again and again, and each start meets one that is
    # down.
    Given 4 VMs on which a plain job of 1 tasks is claimed
    When the worker of task 0 crashes, with it as the only suspect
    And its worker is silent, and the start of task 0 is unanswered
    And its worker is silent, and the start of task 0 is unanswered
    Then the job is open
    When its worker is silent, and the start of task 0 is unanswered
    Then the job is failed

  Scenario: Starts that hardly reached their workers count less at the next leader
    Given 4 VMs on which a plain job of 1 tasks is claimed
    When the worker of task 0 crashes, with it as the only suspect
    And its worker is silent, and the start of task 0 is unanswered
    And another leader takes over from the store
    And all crashes are reported again
    And its worker is silent, and the start of task 0 is unanswered
    Then the job is open
    When its worker is silent, and the start of task 0 is unanswered
    Then the job is failed

  Scenario: Crashes some time after the start count less
    Given 4 VMs on which a plain job of 1 tasks is claimed
    When the worker of task 0 crashes some time after the start
    And the worker of task 0 crashes some time after the start
    And the worker of task 0 crashes some time after the start
    Then the job is open
    When the worker of task 0 crashes some time after the start
    Then the job is failed

  Scenario: A task that crashed two workers is given up, whatever came between
    Given 4 VMs on which a plain job of 1 tasks is claimed
    When the worker of task 0 crashes, with it as the only suspect
    And its worker is silent, and the start of task 0 is unanswered
    And the worker of task 0 crashes, with it as the only suspect
    Then the job is failed
