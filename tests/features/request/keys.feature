Feature: Idempotency keys at the agents

  Scenario Outline: Whatever joins, dies and restarts, no key is accepted twice
    When <count> keys are claimed twice at entries that lag up to <lag> s, seed <seed>
    Then no key claim was accepted twice
    And at least <share> % of first key claims were accepted

    Examples:
      | count | lag | seed | share |
      | 3000  | 0   | 1    | 50    |
      | 3000  | 300 | 2    | 50    |
      | 3000  | 590 | 3    | 50    |

  Scenario: A fresh pool accepts new keys at once
    Given key owners of 11 VMs that joined a second apart
    Then 100 % of 200 plain keys have only present owners
    And each of them has the first VM among its owners

  Scenario: A key of a lost VM is unknown unless it says that it is younger
    Given key owners of 11 VMs that joined a second apart
    When one of the key owners is lost an hour later
    Then some of 200 plain keys have a lost owner
    And no key with a time of its own has a lost owner

  Scenario: Customers and routes whose names hold slashes never share a key
    When customer "a" claims "x/y" on "r" and customer "a/r" claims "y" on "x" in the log
    Then both key claims in the log are accepted

  Scenario: A key memory that had to forget says so
    When a key memory takes 50001 keys, one a millisecond
    Then the key memory reaches back 50 seconds
