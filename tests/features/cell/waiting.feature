Feature: How work waits when there is too much of it

  Scenario: In a burst, jobs that can still be in time go first
    Given a leader with 1 VMs of 8 processors
    When a job "aa" comes that is late already
    And a large job "bb" and a small job "cc" come that can be in time
    And the leader plans
    Then the tasks were claimed in the order "cc bb aa"

  Scenario: Work of a higher priority goes before all that is in time
    Given a leader with 1 VMs of 8 processors
    When a large job "bb" and a small job "cc" come that can be in time
    And an urgent job "dd" comes
    And the leader plans
    Then the tasks were claimed in the order "dd cc bb"

  Scenario: Each ready job gets on, however crowded the VMs are
    Given a leader with 1 VMs of 8 processors
    When 5 jobs of 6 filling tasks come
    And the leader plans
    Then each of the 5 jobs has a task claimed

  Scenario: A VM on trial gets one run that ends
    Given a leader with 1 VMs of 8 processors
    And the VM has failed jobs "x y" and its quarantine is over
    When a lasting job comes
    And the leader plans
    Then no task is claimed
    When a large job "bb" and a small job "cc" come that can be in time
    And the leader plans
    Then 1 task is claimed

  Scenario: After the trial's time a VM takes lasting work again
    Given a leader with 1 VMs of 8 processors
    And the VM has failed jobs "x y" and its quarantine is over
    When a lasting job comes
    And 5 s pass for the VM
    And the leader plans
    Then 1 task is claimed

  Scenario: A refusal for want of room pauses the VM, not the job
    Given a leader with 2 VMs of 8 processors
    When a large job "bb" and a small job "cc" come that can be in time
    And the leader plans
    And "vm-0" refuses all its starts for want of room
    And the leader plans
    Then all tasks are claimed on "vm-1"

  Scenario: A gang starts whole or not at all
    Given a leader with 2 VMs of 8 processors
    When a gang of 20 tasks of 1 processor comes
    And the leader plans
    Then no task is claimed
    When a gang of 12 tasks of 1 processor comes
    And the leader plans
    Then 12 tasks are claimed with the same run

  Scenario: Late filling work makes room for a job that is still in time
    Given a leader with 1 VMs of 8 processors
    When a job of 8 filling tasks runs until it is late
    And a job of 3 filling tasks comes
    And the leader plans
    Then some runs of the late job are stopped and one at least goes on
    When the leader plans
    Then no more runs are stopped than before

  Scenario: Late filling work that would lose its progress goes on
    Given a leader with 1 VMs of 8 processors
    When a job of 8 filling tasks that save nothing runs until late
    And a job of 3 filling tasks comes
    And the leader plans
    Then no run of the late job is stopped
