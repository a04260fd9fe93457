Feature: Filling work beside services

  Scenario: Only the image that disturbs is slowed down
    Given a guard that knows "heavy" adds 0.30 and "light" adds 0.01
    When a service has a tail of 17 ms of 18 beside "heavy" and "light"
    Then "heavy" is paced below 90 percent
    And "light" is not paced

  Scenario: A calm service slows nothing down
    Given a guard that knows "heavy" adds 0.30 and "light" adds 0.01
    When a service has a tail of 5 ms of 18 beside "heavy" and "light"
    Then "heavy" is not paced
    And "light" is not paced

  Scenario: Past the target an image that nobody knows is slowed down
    Given a guard that knows "light" adds 0.001 and "light" adds 0.001
    When a service has a tail of 30 ms of 18 beside "unknown" and "light"
    Then "unknown" is paced below 50 percent
    And "light" is not paced

  Scenario: A run of a slowed image starts slowed
    Given a guard that knows "heavy" adds 0.30 and "light" adds 0.01
    When a service has a tail of 17 ms of 18 beside "heavy" and "light"
    Then a further run of "heavy" starts paced below 50 percent

  Scenario: Paces of a former agent are set anew
    Given a guard that knows "light" adds 0.01 and "light" adds 0.01
    When a service has a tail of 5 ms of 18 beside "heavy" and "light"
    Then a pace of 100 percent was sent for each filling run

  Scenario: Comparing tasks of a step shows who disturbs
    Given a leader with 3 VMs and a service on each
    When for 20 s the service swings and is disturbed on "vm-1" by "heavy"
    Then "heavy" is known to add at least 0.10 and "light" at most 0.05

  Scenario: Filling work goes where it disturbs nobody
    Given a leader with 3 VMs and a service on each
    When for 20 s the service swings and is disturbed on "vm-1" by "heavy"
    And the service leaves "vm-2"
    And a job of 3 filling tasks "heavy" comes
    Then all its tasks are claimed on "vm-2"

  Scenario: Tasks that start together share what a service bears
    Given a guard that knows "heavy" adds 0.15 and "light" adds 0.01
    When a service has a tail of 7 ms of 18
    And 6 runs of "heavy" start before the next look
    Then their paces add up to at most 300 percent
    And the first of them starts at 100 percent

  Scenario: A guard that starts anew spares a service not yet measured
    Given a guard that knows "heavy" adds 0.30 and "light" adds 0.01
    When 3 runs of "heavy" start before the first look
    Then their paces add up to at most 150 percent

  Scenario: A harmless image recovers while the service is busy
    Given a guard that knows "heavy" adds 0.30 and "light" adds 0.001
    When for 8 polls a service has a tail of 40 ms of 18 beside "heavy" and "light"
    Then "light" is paced below 50 percent
    When for 4 polls a service has a tail of 17 ms of 18 beside "heavy" and "light"
    Then "light" is not paced

  Scenario: The next leader keeps what was learned
    Given a leader with 3 VMs and a service on each
    When for 20 s the service swings and is disturbed on "vm-1" by "heavy"
    And another leader takes over what was learned
    Then it knows "heavy" as well as the former leader

  Scenario: Services gather where the same neighbours are borne
    Given a leader with 3 VMs and a service on each
    And "vm-0" and "vm-1" serve another image instead
    When a further service task comes
    Then it is claimed on "vm-2"
