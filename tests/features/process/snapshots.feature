Feature: Live state outlives the log's retention

  Background:
    Given a snapshot log that keeps 60 appends

  Scenario: A reader that fell behind has no hole in its state
    Given a snapshot reader that read 30 random appends and then paused
    And 150 more random appends to the snapshot log
    And a whole snapshot by a reader of all records
    And 20 more random appends to the snapshot log
    When the paused snapshot reader reads on
    Then the log's loss was said to the snapshot reader
    And the snapshot reader's state is that of a reader of all records

  Scenario: A new reader is ready from the last whole snapshot and the tail
    Given 200 more random appends to the snapshot log
    And a whole snapshot by a reader of all records
    And 20 more random appends to the snapshot log
    When a new snapshot reader starts
    Then the snapshot reader's state is that of a reader of all records
    And a repeated append after the snapshot changes nothing

  Scenario: A torn snapshot and a damaged one are skipped
    Given 200 more random appends to the snapshot log
    And a snapshot without its last chunk
    And a snapshot with a damaged chunk
    And 10 more random appends to the snapshot log
    And a whole snapshot by a reader of all records
    When a new snapshot reader starts
    Then the snapshot reader's state is that of a reader of all records

  Scenario: Without a whole snapshot nobody pretends to know the state
    Given 200 more random appends to the snapshot log
    And a snapshot without its last chunk
    When a new snapshot reader starts and finds none
    Then the snapshot reader is not ready and its state is empty

  Scenario: An edit before a snapshot still has its outcome after it
    Given a snapshot edit "lost-answer" whose answer was lost
    And 100 more random appends to the snapshot log
    And a whole snapshot by a reader of all records
    When a new snapshot reader starts
    Then the snapshot reader knows that edit "lost-answer" was accepted

  Scenario: Of three entries that are due one writes
    When three entries follow the snapshot schedule for 2000 s
    Then at least 20 snapshots were whole and never two for one

  Scenario: An entry that starts late serves from a snapshot
    Given a deployment whose log keeps 40 appends and snapshots each 15
    When 80 more edits are committed and a new entry starts
    Then the new entry's tables are those of the first
