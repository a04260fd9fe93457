Feature: Sharing interference estimates between VMs

  Scenario: Duplicated, late and older pair reports have no effect
    Given a pair table
    When pair reports arrive
      | vm   | incarnation | revision | slowdown |
      | vm-1 | 1           | 2        | 0.8      |
      | vm-1 | 1           | 2        | 0.8      |
      | vm-1 | 1           | 1        | 0.1      |
      | vm-2 | 1           | 1        | 0.4      |
    Then the pair table expects 0.6 of 2 VMs
    When pair reports arrive
      | vm   | incarnation | revision | slowdown |
      | vm-1 | 2           | 1        | 0.2      |
      | vm-1 | 1           | 9        | 0.8      |
    Then the pair table expects 0.3 of 2 VMs

  Scenario: The pair report of a lost VM is removed
    Given a pair table
    When pair reports arrive
      | vm   | incarnation | revision | slowdown |
      | vm-1 | 1           | 1        | 0.8      |
      | vm-2 | 1           | 1        | 0.2      |
    And the pair table removes vm-1
    Then the pair table expects 0.2 of 1 VMs

  Scenario: Invalid pairs are dropped and the pair table is bounded
    Given a pair table
    When 3000 pairs and an invalid one are reported
    Then the pair table holds at most 1024 pairs
    And the priors are at most 64, those of the service first

  Scenario: A new VM starts from the estimates of other VMs
    Given a guarded VM with tail weight 3 and eviction weight 1
    And the guard received a prior of 0.9 for class noisy
    And guarded tasks beside the service
      | job   | class | noise |
      | calm1 | quiet | 0.02  |
      | loud  | noisy | 0.9   |
    When the guard runs for 20 s
    Then the guard throttled loud first
    And the guard left class quiet at full share

  Scenario: A limit that the worker lost is sent again
    Given a guarded VM with tail weight 1 and eviction weight 3
    And guarded tasks beside the service
      | job  | class | noise |
      | loud | noisy | 0.7   |
    When the guard runs for 12 s
    And the worker loses the guard's limits
    And the guard runs for 6 s
    Then the worker applies the guard's limits

  Scenario: Placement avoids the services that a job would slow
    Given VMs with services and estimates for class noisy
      | vm   | service | slowdown | free |
      | vm-1 | quotes  | 0.8      | 8000 |
      | vm-2 | prices  | 0.0      | 9000 |
      | vm-3 | watches | 0.5      | 5000 |
    Then a noisy job is placed on vm-2
    And a job of an unknown class is placed on vm-3

  Scenario: Entries collect pair estimates and send them to other agents
    Given the deployment caribfert with 2 VMs and 2 entries
    When a noisy job runs beside a guarded service
    Then all entries expect that class noisy slows quotes by more than 0.3
    And the other agent's guard has received the estimate
