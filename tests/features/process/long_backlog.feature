Feature: An entry that is far behind the store

  A read returns a limited amount. An entry that was paused, or has just
  started, needs several to see a job that another entry accepted.

  Scenario: A job behind a long backlog is not called unknown
    Given a store whose reads return at most 1 MB, and an entry that has read it
    When another entry appends 3 MB of records and a job
    Then the entry knows the job

  Scenario: A short backlog is read with one call
    Given a store whose reads return at most 1 MB, and an entry that has read it
    When another entry appends 0 MB of records and a job
    Then the entry knows the job
    And it has made 1 more read

  Scenario: A job behind a long backlog is known once the records are loaded
    Given a store whose reads return at most 1 MB, and an entry that loads it
    When another entry appends 3 MB of records and a job
    Then the entry knows the job

  # An entry was ready, and judged the leader, with records that it had not
  # read.
  Scenario: A read that is answered late does not hide a backlog
    Given a store whose reads return at most 1 MB, and an entry that has read it
    When a long read is answered after a later one has told of 3 MB of records
    Then the entry has not read to the end

  Scenario: A store that returns nothing below its end is not asked at once again
    Given a store whose reads return nothing though there are records
    When an entry follows it for 2 s
    Then it has made at most 12 reads
