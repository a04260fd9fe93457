Feature: A leader whose reads of the store fail doesn't lead on

  # UNASKED: renewals are appends, which succeeded, so that no other entry took
  # over from a leader that had read no cancellation and no job for 25 s.
  Scenario: A job is cancelled while the leader can't read
    Given 8 cells of 4 VMs that work on long-running jobs
    When the leader's reads get no answer for 25 s
    And another entry accepts the cancellation of a job 2.0 s later
    Then no task of the job runs after 4 s and the time of a stop

  Scenario: A job is submitted while the leader can't read
    Given 8 cells of 4 VMs that work on long-running jobs
    When the leader's reads get no answer for 25 s
    And another entry accepts a job 2.0 s later
    Then all tasks of the job run within 6 s

  Scenario: No lease ends where the reads of a leader fail
    Given 8 cells of 4 VMs that work on long-running jobs
    And the releases of VMs whose lease expired are counted
    When the leader's reads get no answer for 25 s
    And 25 s pass in the cells
    Then no VM was released
    And no guarantee of the cell is violated

  # Nobody can take over; without a leader all leases would end.
  Scenario Outline: No lease ends where the reads of all entries fail
    Given <cells> cells of <vms> VMs and <entries> entries that work on long-running jobs
    And the releases of VMs whose lease expired are counted
    When the reads of all entries get no answer for 9 s
    And 14 s pass in the cells
    Then no VM was released
    And no run has lapsed
    And no guarantee of the cell is violated

    Examples:
      | cells | vms | entries |
      | 4     | 4   | 3       |
      | 4     | 4   | 1       |

  Scenario: A leader keeps its term where no other entry has taken over
    # It stepped down once it had read that it let others take over.
    Given 4 cells of 4 VMs and 1 entries that work on long-running jobs
    When the reads of all entries get no answer for 9 s
    And others write records for 5 s
    Then each cell has the same leader and term as before

  Scenario: No lease ends where the log grows faster than all links carry it
    Given 4 cells of 4 VMs that work on long-running jobs
    And the releases of VMs whose lease expired are counted
    When the log grows by 1_000 kB a second for 8 s, of which links carry 625
    And 14 s pass in the cells
    Then no VM was released
    And no run has lapsed
    And no guarantee of the cell is violated
