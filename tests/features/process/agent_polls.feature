Feature: Polls of the worker while an end is not stored

  A worker answers a long poll at once while it lists an end that the leader
  has not acknowledged. With the leader or the store away for seconds, agents
  polled hundreds of times a second and used up their processor share.

  Scenario: Polls are spaced while an end waits for the leader
    Given an agent whose worker lists an end
    When no leader acknowledges the end for 1 s
    Then the worker was polled between 3 and 20 times

  Scenario: The agent polls at once after the acknowledgement
    Given an agent whose worker lists an end
    When no leader acknowledges the end for 1 s
    And the leader acknowledges the end
    Then the worker is polled within 60 ms

  Scenario: A worker that restarted unnoticed is not polled in a loop
    Given an agent whose worker lists an end
    When the worker answers as an instance that has not checked in for 1 s
    Then the worker was polled between 3 and 20 times

  Scenario Outline: Only the worker that is followed is sent a token: <what>
    # Another worker would refuse the calls of its own agent after it.
    Given an agent whose worker lists an end
    When no leader acknowledges the end for 1 s
    And a check-in names <what>
    Then it is asked <how> token

    Examples:
      | what                        | how              |
      | another worker              | without a        |
      | another address             | without a        |
      | a later start of the worker | with the present |

  Scenario: Foreign check-ins don't keep the worker's own from being tried
    # Load: 20 check-ins a second, each with another start time.
    Given an agent whose worker lists an end
    When no leader acknowledges the end for 1 s
    And 20 check-ins name other starts of the worker before its own
    Then the agent follows the worker's own
