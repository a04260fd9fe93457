Feature: Members get the rows that they lack, and never go back

  Scenario: Held tables equal the log's through losses, repeats and moves
    Given tables of 3 pools that change 400 times
    When members of each pool take updates that are lost, doubled and late
    Then each member holds its pool's rows at the newest version
    And no member's version ever went down
    And a changed row costs a member less than a fifth of all rows

  Scenario: A damaged row is found by its digest and mended
    Given tables of 3 pools that change 30 times
    When a member's row is lost without notice and the tables change
    Then the member asked for all rows once and holds its pool's rows

  Scenario: Another entry steps in when the leader lags
    Given tables of 3 pools that change 3 times
    Then a member that another entry leads is fed after it lagged 2 s

  Scenario: One of three entries lends its tables to one that lags
    Given a table lender for each of "a", "b" and "c" at version 9
    When "d" says version 0 each second for 8 s
    Then only "a" lent tables, 4 times at most
