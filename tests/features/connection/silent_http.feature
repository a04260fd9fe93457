Feature: Kept connections that fall silent without being closed

  Scenario Outline: One timeout shows that all kept connections are silent
    # Each idle connection of the pool cost a caller a whole timeout.
    Given a peer with <idle> kept connections
    When the open connections fall silent
    And a call fails as "may-have-run"
    Then the next call is answered within 300 ms

    Examples:
      | idle |
      | 2    |
      | 8    |

  Scenario: A connection that was used during a long poll may be silent too
    # An entry counted as stale after 2 s: it waited for two polls in a row.
    Given a peer with 1 kept connection
    And a long poll of 700 ms in flight
    And a call that is answered 100 ms later
    When the open connections fall silent
    And the long poll fails
    Then the next call is answered within 300 ms

  Scenario: A call beside an overdue one takes a new connection
    # The entry's second and third append waited behind silent connections.
    Given a peer with 8 kept connections
    When the open connections fall silent
    And a call has been in flight for 600 ms
    Then the next call is answered within 300 ms

  Scenario: A call that its caller abandons has shown silence as well
    Given a peer with 4 kept connections
    When the open connections fall silent
    And a call is cancelled after 600 ms
    Then the next call is answered within 300 ms

  Scenario: A slow peer keeps its connections
    Given a peer with 4 kept connections
    When the peer takes 300 ms for a response
    And 12 calls are made, 4 at a time
    Then all were answered on the kept connections

  Scenario: Connections that deliver beside a lost response are kept
    Given a peer with 4 kept connections
    When a call gets no response, and 3 at a time are answered meanwhile
    Then 3 calls are answered on the kept connections

  Scenario: One timeout shows that all connections to an endpoint are silent
    # Each idle connection cost a caller its whole deadline.
    Given an endpoint with 8 kept connections
    When the open connections fall silent
    And a request to the endpoint fails with a deadline of 300 ms
    Then the next request is answered within 200 ms

  Scenario Outline: A client of the <service> loses one call to silence
    Given a client of the <service> with a call in flight
    When the open connections fall silent
    Then its call fails as <error> within <ms> ms
    And its next call succeeds within 300 ms

    Examples:
      | service | error                  | ms   |
      | log     | LogResponseLostError   | 700  |
      | worker  | WorkerUnreachableError | 1700 |
      | adviser | ResponseLostError      | 2200 |

  Scenario: A call that could not connect has not run
    Given a peer that accepts no connection
    Then a call fails as "not-run"
