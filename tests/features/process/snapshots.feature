Feature: Snapshots preserve the state beyond the log's retention

  Background:
    Given a snapshot log that keeps 60 appends

  Scenario: A reader that fell behind has no gap in its state
    Given a snapshot reader that read 30 random appends and then paused
    And 150 more random appends to the snapshot log
    And a complete snapshot by a reader of all records
    And 20 more random appends to the snapshot log
    When the paused snapshot reader resumes
    Then the loss of records was reported to the snapshot reader
    And the snapshot reader's state equals that of a reader of all records

  Scenario: A new reader starts from the last complete snapshot and the tail
    Given 200 more random appends to the snapshot log
    And a complete snapshot by a reader of all records
    And 20 more random appends to the snapshot log
    When a new snapshot reader starts
    Then the snapshot reader's state equals that of a reader of all records
    And a duplicate append after the snapshot changes nothing

  Scenario: Incomplete and corrupt snapshots are skipped
    Given 200 more random appends to the snapshot log
    And a snapshot without its last chunk
    And a snapshot with a damaged chunk
    And 10 more random appends to the snapshot log
    And a complete snapshot by a reader of all records
    When a new snapshot reader starts
    Then the snapshot reader's state equals that of a reader of all records

  Scenario: Without a complete snapshot a reader stays not ready
    Given 200 more random appends to the snapshot log
    And a snapshot without its last chunk
    When a new snapshot reader starts and finds no snapshot
    Then the snapshot reader is not ready and its state is empty

  Scenario: The outcome of an edit survives a snapshot
    Given a snapshot edit "lost-answer" whose answer was lost
    And 100 more random appends to the snapshot log
    And a complete snapshot by a reader of all records
    When a new snapshot reader starts
    Then the snapshot reader has edit "lost-answer" as accepted

  Scenario: Only one of three entries writes a due snapshot
    When three entries follow the snapshot schedule for 2000 s
    Then at least 20 snapshots were completed and never two at once

  Scenario: An entry that starts late loads a snapshot
    Given a deployment whose log keeps 40 appends, with snapshots every 15
    When 80 more edits are committed and a new entry starts
    Then the new entry has the first entry's tables
