Feature: Records of callers that go to the store over another entry

  Scenario: An answer for a former process of the entry accepts no record
    # Numbers began at 1 in each process, and a peer may answer a second after
    # a restart; its answer then told a caller of another record "accepted".
    Given an entry that has sent a record to a peer and then restarted
    When it sends another record, and the peer answers the former one
    Then the other record is not called appended

  Scenario Outline: A leader that has resigned is not the first to be asked
    # It exits soon: its peers' callers waited for a time-out.
    Given the entries "a", "b" and "c", started in this order
    When "b" <does>
    Then "a" asks the entries "<asked>"

    Examples:
      | does                   | asked |
      | leads                  | b, c  |
      | leads and has resigned | c, b  |

  Scenario: The answer for a record accepts it
    Given an entry that has sent a record to a peer and then restarted
    When it sends another record, and the peer answers both
    Then the other record is called appended
