Feature: Reads of the store over a link that is narrow for them

  # LOST: a read of more than the link carries in the timeout of a call was
  # given up and asked for again from the start. Entries that were behind never
  # caught up, and answered no caller who asked for a job.
  # A link of an entry carries 5 Mbit/s; small ones 2.

  Scenario Outline: A reader that is behind catches up
    Given a reader of the store behind a link of <mbit> Mbit/s
    When it is away while <kb> kB of records are written
    Then it has read all of them within twice the time that the link needs

    Examples:
      | mbit | kb    |
      | 10   | 900   |
      | 5    | 900   |
      | 2    | 900   |
      | 5    | 2_500 |

  Scenario Outline: An entry loads many keys while callers ask for jobs
    Given a store with 2_000 keys of 1 kB behind a link of <mbit> Mbit/s
    When an entry loads it while <callers> callers ask for jobs it doesn't know
    Then it has loaded all of them within twice the time that the link needs
    And the link carried no more than 1.5 times the size of the keys

    Examples:
      | mbit | callers |
      | 5    | 0       |
      | 5    | 1       |
      | 5    | 12      |
      | 10   | 12      |
      | 2    | 1       |

  Scenario: A load continues after its connection is lost
    Given a store with 2_000 keys of 1 kB behind a link of 5 Mbit/s
    When an entry loads it and all connections are reset 3.0 s later
    Then it has loaded all of them within twice the time that the link needs
    And the link carried no more than 1.5 times the size of the keys

  Scenario Outline: A record that is larger than a page is read
    # A page of a read is smaller than the largest record of the store.
    Given a reader of the store behind a link of 10 Mbit/s
    And the store <returns> the part of a record that fits
    When it is away while a record of 250 kB is written
    Then it has read all of them within twice the time that the link needs

    Examples:
      | returns         |
      | returns         |
      | does not return |

  Scenario: Lookups of unknown jobs share their reads
    Given a store with 200 keys of 1 kB behind a link of 5 Mbit/s
    And an entry that has loaded it
    When 300 kB of records are written and 40 callers ask for jobs it doesn't know
    Then each of them is told that there is no such job within 2 s
    And the link carried no more than 3 times the size of the records

  Scenario: A config comes into force beside an entry's load
    # CONFIG: a change has to be in force within 4 s.
    Given a store with 2_000 keys of 1 kB behind a link of 5 Mbit/s
    And a config feed behind the same link
    When an entry loads it while 12 callers ask for jobs it doesn't know
    And a config of 60 kB is written
    Then the config is in force within 4 s

  Scenario: Many large configs are written while the feed is away
    # CONFIG: only the newest one matters, and it has to be in force within 4 s.
    Given a store with 1 keys of 1 kB behind a link of 5 Mbit/s
    And a config feed behind the same link
    When the feed is away while 20 configs of 200 kB are written
    Then the config is in force within 4 s
