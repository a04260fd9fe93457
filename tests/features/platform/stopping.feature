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

  Scenario: A request that arrives while the event loop is held up is answered
    # LOST: the entry took the time in which it read nothing for idle time.
    Given an entry that stops and has an open connection of a caller
    When a request arrives while the entry's event loop is held up
    Then the caller gets a response before the entry exits

  Scenario: Time in which the event loop was held up is not idle time
    # Load: a config storm during a planned stop.
    Given a stopping entry that has been idle for 0.2 s
    When its event loop is held up for 0.5 s
    Then it counts as idle for 0.2 s
    When the entry is checked for 0.2 s more
    Then it counts as idle for 0.4 s
    When a request is in flight
    Then it counts as idle for 0.0 s
