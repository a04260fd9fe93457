Feature: Sharing what VMs learn about interference

  Scenario: Doubled, late and older reports of pairs change nothing
    Given a table of pairs
    When pair reports come
      | vm   | incarnation | revision | slowdown |
      | vm-1 | 1           | 2        | 0.8      |
      | vm-1 | 1           | 2        | 0.8      |
      | vm-1 | 1           | 1        | 0.1      |
      | vm-2 | 1           | 1        | 0.4      |
    Then the table of pairs expects 0.6 of 2 VMs
    When pair reports come
      | vm   | incarnation | revision | slowdown |
      | vm-1 | 2           | 1        | 0.2      |
      | vm-1 | 1           | 9        | 0.8      |
    Then the table of pairs expects 0.3 of 2 VMs

  Scenario: What a lost VM reported is forgotten
    Given a table of pairs
    When pair reports come
      | vm   | incarnation | revision | slowdown |
      | vm-1 | 1           | 1        | 0.8      |
      | vm-2 | 1           | 1        | 0.2      |
    And the table of pairs forgets vm-1
    Then the table of pairs expects 0.2 of 1 VMs

  Scenario: Senseless pairs are dropped and the table of pairs is bounded
    Given a table of pairs
    When 3000 classes of pairs and a senseless one are reported
    Then the table of pairs holds at most 1024 pairs
    And the priors of pairs are at most 64, those of the service first

  Scenario: A new VM starts from what others learned
    Given a guarded VM with tail weight 3 and eviction weight 1
    And the guard took the prior of 0.9 for class noisy
    And guarded tasks beside the service
      | job   | class | noise |
      | calm1 | quiet | 0.02  |
      | loud  | noisy | 0.9   |
    When the guard watches for 20 s
    Then the guard limited loud first
    And the guard left class quiet at full share

  Scenario: A limit that the worker did not hear is said again
    Given a guarded VM with tail weight 1 and eviction weight 3
    And guarded tasks beside the service
      | job  | class | noise |
      | loud | noisy | 0.7   |
    When the guard watches for 12 s
    And the worker forgets the guard's limits
    And the guard watches for 6 s
    Then the worker holds the guard's limits

  Scenario: Placement avoids the service that a job would slow
    Given VMs with services and what is known of class noisy
      | vm   | service | slowdown | free |
      | vm-1 | quotes  | 0.8      | 8000 |
      | vm-2 | prices  | 0.0      | 9000 |
      | vm-3 | watches | 0.5      | 5000 |
    Then a noisy job is placed on vm-2
    And a job of an unknown class is placed on vm-3

  Scenario: Entries learn pairs from agents and give them to others
    Given the deployment caribfert with 2 VMs and 2 entries
    When a noisy job is run beside a guarded service
    Then all entries expect that class noisy slows quotes by more than 0.3
    And the other agent's guard has learned it too
