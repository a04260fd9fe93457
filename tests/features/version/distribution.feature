Feature: Members get missing rows and never revert to an older version

  Scenario: Replicas match the log despite lost, repeated and late updates
    Given tables of 3 pools that change 400 times
    When members of each pool receive lost, repeated and late updates
    Then each member has its pool's rows at the newest version
    And no member's version ever decreased
    And the update for a changed row is less than a fifth the size of all rows

  Scenario: A missing row is detected by the digest and restored
    Given tables of 3 pools that change 30 times
    When a member silently loses a row and the tables change
    Then the member requested all rows once and has its pool's rows

  Scenario: Another entry takes over when the leader lags
    Given tables of 3 pools that change 3 times
    Then a member of another leader gets updates after lagging for 2 s

  Scenario: One of three entries sends its tables to an entry that lags
    Given a table relay for each of "a", "b" and "c" at version 9
    When "d" reports version 0 each second for 8 s
    Then only "a" sent tables, at most 4 times
