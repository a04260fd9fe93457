Feature: Connections to the store that fall silent without being closed

  Scenario Outline: A leader renews before its lease ends
    # Each retry of a renewal waited for a further silent connection.
    Given a platform of one entry with <kept> kept connections to the store
    When all open connections to the store fall silent
    Then the leader may grant leases throughout the next 5 s

    Examples:
      | kept |
      | 5    |
      | 8    |
