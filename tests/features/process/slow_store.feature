Feature: Callers' records while the store is slow

  The store appends to a partition one call at a time. With one call for each
  submission, a store that took 0.18 s for each had more than two seconds of
  calls waiting, refused most, and got each refused or abandoned record again.

  Scenario: Records that wait for a slow store go with one append
    Given a store that takes 300 ms for an append, one at a time
    When 30 records are appended in 100 ms
    Then all are accepted within 1000 ms with at most 4 appends

  Scenario: A silent append does not hold up later records
    Given a store that never answers the first append
    When 2 records are appended in 100 ms with 2 s left
    Then the last is accepted within 1000 ms
    And the first outcome is "may-be-accepted"

  Scenario: A record that was never sent is not called possibly accepted
    Given a store that answers no append in time
    When 6 records are appended in 3000 ms with 1 s left
    Then an outcome is "refused" only if its record was never sent

  Scenario: Records take the way over the leader while the store is slow
    Given a store that takes 300 ms for an append, one at a time
    And a leader that appends relayed records
    When 2 records are appended in 1000 ms
    Then the last was relayed to the leader

  Scenario: Records are appended directly while the store is quick
    Given a store that takes 1 ms for an append, one at a time
    And a leader that appends relayed records
    When 5 records are appended in 100 ms
    Then none was relayed to the leader

  Scenario: While the store is away submissions are refused at once
    # Load: callers waited for their whole deadline and could not return.
    Given a store that answers no append in time
    And reads of the store have failed for 3 s
    When 20 records are appended in 4000 ms with 3 s left
    Then at least 10 are refused within 50 ms
    And an outcome is "refused" only if its record was never sent

  Scenario: Submissions are accepted as soon as the store is back
    Given a store that never answers the first append
    And reads of the store have failed for 3 s
    When 10 records are appended in 4000 ms with 3 s left
    And reads of the store succeed again
    And 3 records are appended in 100 ms
    Then the last is accepted within 100 ms

  Scenario: A repeat of a submission of unknown fate is not called refused
    # The first copy may still be appended; a refusal says that it never runs.
    Given a store that answers no append in time
    And reads of the store have failed for 3 s
    When 8 records are appended in 2000 ms with 1 s left
    And the first record is submitted again
    Then the first outcome is "may-be-accepted"
