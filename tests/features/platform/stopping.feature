Feature: A planned stop ends at once, whatever happens meanwhile

  Scenario: A stop that meets a wake-up is not lost
    Given a platform with 2 entries and 2 VMs
    When each entry and each agent is stopped 40 times as it wakes up
    Then no part of any of them goes on

  Scenario: A planned stop answers whoever still comes
    Given real entries and agents behind proxies
    When an entry is stopped as planned while callers come on new connections
    Then each caller whose connection was taken got an answer
    And the entry ends within the time that the platform grants
