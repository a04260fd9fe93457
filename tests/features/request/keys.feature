Feature: Idempotency keys at the agents

  Scenario Outline: No key is accepted twice while VMs join, die and restart
    When <count> keys are claimed twice at entries whose log lags up to <lag> s, seed <seed>
    Then no key was accepted twice
    And at least <share> % of the first claims were accepted

    Examples:
      | count | lag | seed | share |
      | 3000  | 0   | 1    | 50    |
      | 3000  | 300 | 2    | 50    |
      | 3000  | 590 | 3    | 50    |

  Scenario: A new pool accepts keys immediately
    Given key owners of 11 VMs that joined one second apart
    Then 100 % of 200 plain keys have only present owners
    And each of them has the first VM among its owners

  Scenario: A key owned by a lost VM is unknown unless the key is newer
    Given key owners of 11 VMs that joined one second apart
    When one of the key owners is lost one hour later
    Then some of 200 plain keys have a lost owner
    And no key with a creation time has a lost owner

  Scenario: Customers and routes with slashes in their names never share a key
    When customer "a" claims "x/y" on "r" and customer "a/r" claims "y" on "x" in the log
    Then both key claims in the log are accepted

  Scenario: An agent that dropped keys early reports it
    When an agent gets 50001 keys, one per millisecond
    Then the agent's recent keys are complete for 50 seconds
