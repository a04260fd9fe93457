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
