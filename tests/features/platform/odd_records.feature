Feature: One record that a component fails on is skipped

  Scenario: A config record that can't be installed does not stop the feed
    # An exception for one record ended the feed and the entry with it, and the
    # entry ended again after each restart.
    Given a store whose newest records are "config:e30=" and "b:Yg=="
    When the operator's topic is followed by a feed that fails to install
    Then the store was read again and the feed is running
    And a line names the offset, the key and the error of the skipped record

  Scenario: A stored record that can't be applied does not stop the reads
    Given a view that fails to apply the record "m:vm-9"
    When records of "m:vm-8", "m:vm-9" and "m:vm-7" are read
    Then the view has "vm-8" and "vm-7"
    And a line names the offset, the key and the error of the skipped record

  Scenario Outline: A leader loads the store beside <record>
    # Each leader that loaded it ended, or ran out of memory.
    When a leader loads <record> and a sound job
    Then it schedules the sound job
    And a line names what was skipped

    Examples:
      | record                                |
      | a job with too many tasks             |
      | a job with a size out of range        |
      | an estimate of interference without a deviation |

  Scenario: A failing poll does not end the agent
    Given an agent whose worker lists an end
    When its polls raise an unexpected error for 1 s
    Then the agent has not failed
    And its worker is polled again

  Scenario Outline: A <role> whose component failed exits with an error
    # It exited with 0, as after a planned stop.
    When a component of the <role> fails
    Then it exits with status 1

    Examples:
      | role  |
      | entry |
      | agent |

  Scenario: A schedule that is due all at once leaves the leader room
    # A job of 2^40 occurrences without an interval was accepted; the leader,
    # and each after it, made them all in one round until its memory was used up.
    When a leader schedules a job of 1099511627776 occurrences without interval
    Then at most 20000 tasks of it are open
    And it schedules more of it once these are done
