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

  Scenario Outline: A request at the end of a stop is answered, not cut off
    # Load: the store is slow, so that requests wait in the stopping entry.
    Given an entry that stops within 3 s and has an open connection of a caller
    When a caller's <method> is in flight until the end of the stop
    Then the caller gets status <status> before the entry exits

    Examples:
      | method | status |
      | GET    | 503    |
      | POST   | 504    |
      | DELETE | 504    |

  Scenario Outline: A request after the end of service is answered, not cut off
    # Load: a frozen process reads its sockets again after all deadlines.
    Given an entry that stops within 3 s and has an open connection of a caller
    When a <method> arrives while the event loop is held up until all deadlines have passed
    Then the caller gets status <status> before the entry exits

    Examples:
      | method | status |
      | GET    | 503    |
      | POST   | 504    |

  Scenario: Requests that are read as service ends are answered, not cut off
    # LOST: a task that is cancelled before its first step responds to nobody.
    Given an entry that stops within 3 s
    When 40 callers send a POST each while each turn of the event loop takes 0.03 s
    Then each caller gets an answer

  Scenario: A request that never arrives whole does not outlast the stop
    # A connection that is left open takes requests until the process is gone.
    Given an entry that stops within 3 s and has an open connection of a caller
    When a part of a request arrives and the rest does not
    Then the caller's connection is closed when the entry has drained

  Scenario: A leader that loses its term while it stops serves its callers
    # LOST: the hand-over waited for an append that was cancelled, and the
    # process ended with a traceback.
    Given a leader that stops while an append is in flight
    When another entry leads before the append has ended
    Then the hand-over ends without an error

  Scenario: An entry with a failed component answers what is in flight
    Given an entry that stops and has an open connection of a caller
    When a component has failed while a caller's POST is in flight
    Then the caller gets status 504 before the entry exits
    And it has stopped within 1.0 s

  Scenario: A term that begins during a stop is resigned
    # The cell had no leader until the term of an exited entry had lapsed.
    Given an entry that stops while its takeover is on the way
    When it reads that it leads
    Then it has resigned

  Scenario Outline: The steps of a stop fit into the time that is granted
    Given a process that is killed <grace> s after its stop began
    Then it accepts connections for <accept> s, serves for <serve> s and closes connections after <close> s

    Examples:
      | grace | accept | serve | close |
      | 6.0   | 2.6    | 4.5   | 5.0   |
      | 30.0  | 2.6    | 28.5  | 29.0  |
      | 3.0   | 1.5    | 1.5   | 2.0   |
      | 1.0   | 0.4    | 0.4   | 0.5   |
