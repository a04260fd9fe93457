Feature: Appends over a link that is narrow for them

  Scenario Outline: Callers whose large records wait come back and are accepted
    # Callers gave up while an append of many records was under way, came back,
    # and had their records sent once more beside those that still were.
    Given an entry that appends over a link of <mbit> Mbit/s
    When <count> callers with <kb> kB each come back after <seconds> s without an answer
    Then all are accepted within 1.5 times the time that the link needs
    And the link carried no more than 1.4 times the size of their records

    Examples:
      | mbit | count | kb  | seconds |
      | 5    | 40    | 100 | 2       |
      | 5    | 400   | 10  | 2       |
      | 2    | 20    | 100 | 2       |
      | 2    | 200   | 10  | 2       |
      | 2    | 8     | 250 | 3       |

  Scenario Outline: A small record doesn't wait for all large ones
    Given an entry that appends over a link of <mbit> Mbit/s
    When 30 callers with 100 kB each come back after 10 s without an answer
    And a caller with 1 kB comes 0.5 s later
    Then the last is accepted within <seconds> s

    Examples:
      | mbit | seconds |
      | 5    | 0.8     |
      | 2    | 1.2     |

  Scenario Outline: A leader renews while large changes of its jobs are stored
    # One append took all changes and a renewal, which came after the lease.
    Given a leader of <jobs> jobs that appends over a link of <mbit> Mbit/s
    When all jobs change by 10 kB each
    Then the leader may grant leases until all changes are stored
    And that took no more than 1.5 times the time that the link needs

    Examples:
      | mbit | jobs |
      | 5    | 100  |
      | 5    | 250  |
      | 2    | 100  |

  Scenario: What a leader's batch leaves out takes no effect with it
    # A start without a stored claim, or an acknowledged end that is not
    # stored, would be forgotten by the next leader.
    Given a leader of 100 jobs that appends over a link of 5 Mbit/s
    When all jobs change by 10 kB each, with a claim and a run end
    Then each claim comes with the batch that stores it
    And the run end is acknowledged with the last of several batches
