Feature: Counts of pending jobs

  Scenario: A job that is claimed and has not begun counts as pending
    # Load: workers are cut off while jobs are claimed on them, so that their
    # starts stay unanswered for seconds.
    Given a leader with 2 VMs that work on a job of 4 tasks
    When a reader loads the stored records
    Then it shows the job as pending
    When "vm-0" lists a run of the job
    And a reader loads the stored records
    Then it shows the job as running

  Scenario: A job whose first runs ended counts as begun
    Given a leader with 2 VMs that work on a job of 4 tasks
    When "vm-0" lists its runs as lapsed
    And a reader loads the stored records
    Then it shows the job as running
