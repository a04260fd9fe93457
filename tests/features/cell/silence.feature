Feature: What is lost is noticed, what ended stays ended

  Scenario: A VM whose agent knows no worker gives its tasks back
    Given a leader with 2 VMs that work on a job of 4 tasks
    When the agent of "vm-0" starts anew and knows no worker for 12 s
    Then all open tasks are claimed on "vm-1"

  Scenario: A job that completed before it was cancelled stays completed
    Given a view of a job that completed at offset 5
    When a cancellation comes at offset 7
    Then the job is shown as "completed"

  Scenario: A job that was cancelled before its end was written is cancelled
    Given a view of a job that completed at offset 9
    When a cancellation comes at offset 7
    Then the job is shown as "cancelled"

  Scenario: A leader that was fenced does not lead again on what it saw before
    Given an entry that leads term 3
    When the store refuses its records for a newer term
    Then it neither leads nor grants nor takes over at once
    When it reads that another entry leads term 4
    Then it neither leads nor grants nor takes over at once

  Scenario: Progress outlives the loss of all machines
    Given a leader with 1 VMs that work on a job of 4 tasks
    When the VM reports checkpoints of all tasks for 3 s
    And a new leader loads what was written
    Then each of its tasks has the last checkpoint but one or the last

  Scenario: Members of a gang start from one checkpoint
    Given a leader with 2 VMs and a stopped gang of 2 tasks
    When the gang is claimed again
    Then both members carry the same checkpoint

  Scenario: A second copy of a submission is no news
    Given a view of a job that completed at offset 5
    When its submission comes again at offset 8
    Then the copy is no news, and the job is shown as "completed"
