Feature: The interference guard

  Scenario: Only the noisy task is throttled or evicted
    Given a guarded VM with tail weight 3 and eviction weight 1
    And guarded tasks beside the service
      | job   | class | noise |
      | calm1 | quiet | 0.02  |
      | calm2 | quiet | 0.02  |
      | loud  | noisy | 0.9   |
      | calm3 | quiet | 0.02  |
    When the guard runs for 120 s
    Then the guard evicted at most 1 tasks, all of class noisy
    And the guard left class quiet at full share
    And the slowdown of the guarded service stayed below 1.25 in the last 60 s

  Scenario: Periodic interference does not make the throttle oscillate
    Given a guarded VM with tail weight 1 and eviction weight 3
    And guarded measurements that are lost, late, duplicated and noisy
    And guarded tasks beside the service
      | job  | class | noise |
      | loud | noisy | 0.6   |
    When the guard runs for 240 s under interference with a period of 8 s
    Then the guard reversed a throttle at most 2 times a minute
    And the guard evicted at most 1 tasks, all of class noisy

  Scenario: Without fresh measurements the guard keeps the throttle
    Given a guarded VM with tail weight 3 and eviction weight 1
    And guarded tasks beside the service
      | job  | class | noise |
      | loud | noisy | 0.9   |
    When the guard runs for 10 s
    And the guarded measurements stop
    And the guard runs for 60 s
    Then the guard evicted at most 0 tasks, all of class noisy
    And the guard took no action in the last 50 s
    And the guarded VM accepts no new batch work

  Scenario: Invalid measurements are dropped
    Given a guarded VM with tail weight 3 and eviction weight 1
    And guarded tasks beside the service
      | job  | class | noise |
      | calm | quiet | 0.02  |
    When the guard runs for 10 s
    And the guarded measurements become invalid
    And the guard runs for 30 s
    Then the guard took no action in the last 40 s
    And the guarded VM accepts no new batch work

  Scenario: A service that is slow by itself causes no throttle or eviction
    Given a guarded VM with tail weight 3 and eviction weight 1
    And guarded tasks beside the service
      | job   | class | noise |
      | calm1 | quiet | 0.0   |
      | calm2 | quiet | 0.0   |
    When the guard runs for 30 s
    And the guarded service is slowed by 0.8 on its own
    And the guard runs for 120 s
    Then the guard evicted at most 0 tasks, all of class quiet
    And the guard left class quiet at full share

  Scenario: A restarted job is not evicted again immediately
    Given a guarded VM with tail weight 3 and eviction weight 1
    And guarded tasks beside the service
      | job  | class | noise |
      | loud | noisy | 6.0   |
    When the guarded tasks are restarted after each eviction for 200 s
    Then the guard evicted no job twice within 30 s

  Scenario: The guard lifts the throttle when the interference ends
    Given a guarded VM with tail weight 1 and eviction weight 3
    And guarded tasks beside the service
      | job  | class | noise |
      | loud | noisy | 0.7   |
    When the guard runs for 20 s
    Then the guard is throttled
    When the guarded tasks stop interfering
    And the guard runs for 90 s
    Then the guard is normal
    And the guard left class noisy at full share

  Scenario Outline: Estimates do not depend on the order of samples
    Given guarded samples of a noisy task that runs intermittently
    When the guarded samples arrive <how>
    Then the estimate of the noisy class is within 0.12 of the true value

    Examples:
      | how      |
      | in order |
      | doubled  |
      | shuffled |
