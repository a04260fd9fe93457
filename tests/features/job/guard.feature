Feature: The interference guard

  Scenario: Quiet neighbours of a noisy task are spared
    Given a guarded VM with tail weight 3 and eviction weight 1
    And guarded tasks beside the service
      | job   | class | noise |
      | calm1 | quiet | 0.02  |
      | calm2 | quiet | 0.02  |
      | loud  | noisy | 0.9   |
      | calm3 | quiet | 0.02  |
    When the guard watches for 120 s
    Then the guard evicted at most 1 tasks, all of class noisy
    And the guard left class quiet at full share
    And the guarded service was slowed by less than 1.25 in the last 60 s

  Scenario: A noisy wave does not make the throttle flap
    Given a guarded VM with tail weight 1 and eviction weight 3
    And guarded measurements that are lost, late, doubled and noisy
    And guarded tasks beside the service
      | job  | class | noise |
      | loud | noisy | 0.6   |
    When the guard watches for 240 s of waves of 8 s
    Then the guard turned a throttle at most 2 times a minute
    And the guard evicted at most 1 tasks, all of class noisy

  Scenario: Without fresh measurements the guard keeps what it has
    Given a guarded VM with tail weight 3 and eviction weight 1
    And guarded tasks beside the service
      | job  | class | noise |
      | loud | noisy | 0.9   |
    When the guard watches for 10 s
    And the guarded measurements stop
    And the guard watches for 60 s
    Then the guard evicted at most 0 tasks, all of class noisy
    And the guard took no action in the last 50 s
    And the guarded VM takes no new batch work

  Scenario: Senseless measurements are dropped
    Given a guarded VM with tail weight 3 and eviction weight 1
    And guarded tasks beside the service
      | job  | class | noise |
      | calm | quiet | 0.02  |
    When the guard watches for 10 s
    And the guarded measurements make no sense
    And the guard watches for 30 s
    Then the guard took no action in the last 40 s
    And the guarded VM takes no new batch work

  Scenario: A service that slows itself costs no neighbour its place
    Given a guarded VM with tail weight 3 and eviction weight 1
    And guarded tasks beside the service
      | job   | class | noise |
      | calm1 | quiet | 0.0   |
      | calm2 | quiet | 0.0   |
    When the guard watches for 30 s
    And the guarded service slows itself by 0.8
    And the guard watches for 120 s
    Then the guard evicted at most 0 tasks, all of class quiet
    And the guard left class quiet at full share

  Scenario: A job that was just placed is not evicted again at once
    Given a guarded VM with tail weight 3 and eviction weight 1
    And guarded tasks beside the service
      | job  | class | noise |
      | loud | noisy | 6.0   |
    When the guarded tasks come back after each eviction for 200 s
    Then the guard evicted no job twice within 30 s

  Scenario: A guard lets go when the interference ends
    Given a guarded VM with tail weight 1 and eviction weight 3
    And guarded tasks beside the service
      | job  | class | noise |
      | loud | noisy | 0.7   |
    When the guard watches for 20 s
    Then the guard is throttled
    When the guarded tasks fall silent
    And the guard watches for 90 s
    Then the guard is normal
    And the guard left class noisy at full share

  Scenario Outline: Estimates do not depend on how samples arrive
    Given guarded samples of a noisy task that came and went
    When the guarded samples arrive <how>
    Then the estimate of the noisy class lies within 0.12 of the truth

    Examples:
      | how      |
      | in order |
      | doubled  |
      | shuffled |
