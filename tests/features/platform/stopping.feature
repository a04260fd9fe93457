Feature: A planned stop completes in time despite concurrent activity

  Scenario: A stop during a wake-up is not lost
    Given a platform with 2 entries and 2 VMs
    When each entry and each agent is stopped 40 times during a wake-up
    Then none of their loops keeps running

  Scenario: Connections that arrive during a planned stop are served
    Given real entries and agents behind proxies
    When an entry is stopped as planned while callers open new connections
    Then each caller with an accepted connection got a response
    And the entry exits within the time that the platform grants
