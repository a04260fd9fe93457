Feature: The queue that a job belongs to

  Scenario Outline: A job is found by address, then by name on the same host
    Given a job of route "q" at "example.org/q/" and a config with these routes
      | address            | name |
      | <first>            | <of> |
      | example.com/other/ | z    |
    Then the job is <held> by the queue at "<first>" as "<of>"
    And the job is not held by the queue at "example.com/other/" as "z"

    Examples:
      | first              | of | held     |
      | example.org/q/     | q  | held     |
      | example.org/q/     | p  | held     |
      | example.org/moved/ | q  | held     |
      | example.org/moved/ | p  | not held |
      | example.com/q/     | q  | not held |
      | example.com/q/     | p  | not held |

  Scenario: Two queues that swap their names keep their jobs
    Given a job of route "q" at "example.org/q/" and a config with these routes
      | address        | name |
      | example.org/q/ | r    |
      | example.org/r/ | q    |
    Then the job is held by the queue at "example.org/q/" as "r"
    And the job is not held by the queue at "example.org/r/" as "q"

  Scenario Outline: An entry with an older config than the leader's record
    Given a job of route "q" at "example.org/q/" and a config with these routes
      | address        | name |
      | example.org/q/ | q    |
    And a leader has stored its queue at "<address>" as "<name>"
    Then the job is held by the queue at "example.org/q/" as "q"

    Examples:
      | address            | name |
      | example.org/q/     | p    |
      | example.org/moved/ | q    |

  Scenario Outline: A job of an earlier build is found by its name
    Given a job of an earlier build of route "q" and a config with these routes
      | address        | name   |
      | example.org/q/ | <name> |
    Then the job is <held> by the queue at "example.org/q/" as "<name>"

    Examples:
      | name | held     |
      | q    | held     |
      | p    | not held |

  Scenario: A job of an earlier build whose queue a leader has stored
    Given a job of an earlier build of route "q" and a config with these routes
      | address        | name |
      | example.org/q/ | p    |
    And a leader has stored its queue at "example.org/q/" as "q"
    Then the job is held by the queue at "example.org/q/" as "p"

  Scenario Outline: A lookup of an earlier build names the route only
    Given a job of route "q" at "example.org/q/" and a config with these routes
      | address        | name |
      | example.org/q/ | q    |
    Then a lookup of an earlier build for route "<name>" finds it: <found>

    Examples:
      | name | found |
      | q    | yes   |
      | p    | no    |
