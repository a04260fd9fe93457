Feature: No request on an open connection is lost when an entry stops

  Scenario Outline: Requests sent while a stopped entry exits are lost
    # LOST: the kernel takes requests until the process is gone.
    Given a real deployment of 4 entries
    When 3 entries stop as planned, held up for 0.6 of the time, seed <seed>
    Then no request on an open connection is lost
    And each stopped entry is gone within the time that the platform grants

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario: Connections in the accept queue of a stopping entry are reset
    # LOST: the entry was held up when it closed its listener.
    Given a real deployment of 4 entries
    When callers connect to 3 stopping entries that are held up for 0.3 s
    Then each request is answered

  Scenario: Connections that wait when the listener is closed are reset
    Given an entry that stops and has an open connection of a caller
    When callers connect and send requests right before it stops listening
    Then each waiting caller gets a response

  Scenario: Connections stay open after a stopping entry's last look at them
    Given an entry that stops and has an open connection of a caller
    When it stops with a new connection and one kept after a response
    Then both connections are closed when it has drained

  Scenario: A request whose body arrives in parts is cut by a planned stop
    Given a real deployment of 4 entries
    When callers of 3 stopping entries send bodies 0.5 s after their headers
    Then each request is answered
