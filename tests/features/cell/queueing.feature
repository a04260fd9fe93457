Feature: Queueing and preemption under overload

  Scenario: In a burst, jobs that can still be on time go first
    Given a leader with 1 VMs of 8 processors
    When a job "aa" is submitted that is late already
    And a large job "bb" and a small job "cc" are submitted that can be on time
    And the leader plans
    Then the tasks were claimed in the order "cc bb aa"

  Scenario: Higher priority goes before jobs that are on time
    Given a leader with 1 VMs of 8 processors
    When a large job "bb" and a small job "cc" are submitted that can be on time
    And an urgent job "dd" is submitted
    And the leader plans
    Then the tasks were claimed in the order "dd cc bb"

  Scenario: Each ready job runs a task, however crowded the VMs are
    Given a leader with 1 VMs of 8 processors
    When 5 jobs of 6 best-effort tasks are submitted
    And the leader plans
    Then each of the 5 jobs has a task claimed

  Scenario: A VM on probation gets one run that ends
    Given a leader with 1 VMs of 8 processors
    And the VM has failed jobs "x y" and its quarantine is over
    When a long-running job is submitted
    And the leader plans
    Then no task is claimed
    When a large job "bb" and a small job "cc" are submitted that can be on time
    And the leader plans
    Then 1 task is claimed

  Scenario: After its probation a VM accepts long-running work again
    Given a leader with 1 VMs of 8 processors
    And the VM has failed jobs "x y" and its quarantine is over
    When a long-running job is submitted
    And 5 s pass for the VM
    And the leader plans
    Then 1 task is claimed

  Scenario: A refusal for lack of room pauses the VM, not the job
    Given a leader with 2 VMs of 8 processors
    When a large job "bb" and a small job "cc" are submitted that can be on time
    And the leader plans
    And "vm-0" refuses all its starts for lack of room
    And the leader plans
    Then all tasks are claimed on "vm-1"

  Scenario: A gang starts as a whole or not at all
    Given a leader with 2 VMs of 8 processors
    When a gang of 20 tasks of 1 processor is submitted
    And the leader plans
    Then no task is claimed
    When a gang of 12 tasks of 1 processor is submitted
    And the leader plans
    Then 12 tasks are claimed with the same run

  Scenario: Late best-effort work is preempted by a job that is on time
    Given a leader with 1 VMs of 8 processors
    When a job of 8 best-effort tasks runs until it is late
    And a job of 3 best-effort tasks is submitted
    And the leader plans
    Then some runs of the late job are stopped and at least one continues
    When the leader plans
    Then no more runs are stopped than before

  Scenario: Late best-effort work without checkpoints is not preempted
    Given a leader with 1 VMs of 8 processors
    When a job of 8 best-effort tasks without checkpoints runs until it is late
    And a job of 3 best-effort tasks is submitted
    And the leader plans
    Then no run of the late job is stopped

  Scenario: A wide step on many VMs is placed with few ratings
    # Load: bursts of steps of 39 tasks on 160 VMs.
    Given a leader with 160 VMs of 8 processors
    When 6 jobs of 39 tasks are submitted and planned while ratings are counted
    Then 234 tasks are claimed as a search of all VMs for each task does
    And each step took at most two ratings of 160 VMs and one a task

  Scenario: Only reports that allow a decision start a scheduling round
    # Load: the lease renewals of hundreds of agents.
    Given a leader with 1 VMs of 8 processors
    When a large job "bb" and a small job "cc" are submitted that can be on time
    And the leader plans
    Then a report that only renews the lease allows no decision
    And a report with an end allows one
