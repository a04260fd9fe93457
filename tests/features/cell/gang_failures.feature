Feature: One failed run of a gang is one failed attempt

  Scenario: Members that fail in one run count once
    # Load: a worker that fails all it starts holds several members.
    Given a gang of 4 tasks on 2 VMs, with 2 attempts
    When the members on "vm-0" fail in one report, and the others break
    Then the gang's job is open
    When the gang is started again
    And the members on "vm-0" fail in one report, and the others break
    Then the gang's job is failed

  Scenario: Members whose ends arrive in different reports count once
    Given a gang of 4 tasks on 2 VMs, with 2 attempts
    When the members on "vm-0" fail, each in a report of its own
    And the members on "vm-1" fail, each in a report of its own
    Then the gang's job is open

  Scenario: Members whose ends reach two leaders count once
    Given a gang of 4 tasks on 2 VMs, with 2 attempts
    When the members on "vm-0" fail, each in a report of its own
    And a new leader takes over the gang from the store
    And the members on "vm-1" fail, each in a report of its own
    Then the gang's job is open

  Scenario: Ends that are repeated to the next leader count once
    Given a gang of 4 tasks on 2 VMs, with 2 attempts
    When the members on "vm-0" fail, each in a report of its own
    And a new leader takes over the gang from the store
    And all ends are reported again
    Then the gang's job is open

  Scenario: A run that failed under the former leader counts
    Given a gang of 4 tasks on 2 VMs, with 2 attempts
    When the members on "vm-0" fail in one report, and the others break
    And a new leader takes over the gang from the store
    And the gang is started again
    And the members on "vm-1" fail in one report, and the others break
    Then the gang's job is failed

  Scenario: Runs that different members fail count together
    Given a gang of 4 tasks on 2 VMs, with 2 attempts
    When member 0 fails, and the others break
    And the gang is started again
    And member 3 fails, and the others break
    Then the gang's job is failed

  Scenario: Failures that an earlier build has stored count
    # It stored how often each member has failed, and no runs.
    Given a gang of 4 tasks on 2 VMs, with 2 attempts
    When member 0 fails, and the others break
    And a new leader takes over the gang from the store of an earlier build
    And the gang is started again
    And member 0 fails, and the others break
    Then the gang's job is failed

  Scenario: Failures that an earlier build has stored count with later ones
    # BUDGET: another member failed the second run, and a third was started.
    Given a gang of 4 tasks on 2 VMs, with 2 attempts
    When member 0 fails, and the others break
    And a new leader takes over the gang from the store of an earlier build
    And the gang is started again
    And member 3 fails, and the others break
    Then the gang's job is failed

  Scenario: Ends of a run that an earlier build has counted count once
    Given a gang of 4 tasks on 2 VMs, with 2 attempts
    When the members on "vm-0" fail, each in a report of its own
    And a new leader takes over the gang from the store of an earlier build
    And the members on "vm-1" fail, each in a report of its own
    Then the gang's job is open

  Scenario: A VM is blamed once for a failed run of a gang
    Given a gang of 4 tasks on 2 VMs, with 2 attempts
    And a task of another job has failed on "vm-0"
    When the members on "vm-0" fail in one report, and the others break
    Then "vm-0" is in quarantine for 2 s

  Scenario: A gang with a failed member waits before it is started again
    Given a gang of 4 tasks on 2 VMs, with 2 attempts
    When member 0 fails, and the others break
    Then the gang is not started within 90 ms
    When the gang is started again
    Then the gang's job is open
