Feature: Recovery of a cell and final outcomes

  Scenario: Tasks are claimed elsewhere when an agent has no worker
    Given a leader with 2 VMs that work on a job of 4 tasks
    When the agent of "vm-0" restarts and has no worker for 12 s
    Then all open tasks are claimed on "vm-1"

  Scenario: A job that completed before it was cancelled stays completed
    Given a view of a job that completed at offset 5
    When a cancellation is read at offset 7
    Then the job is shown as "completed"

  Scenario: A job that was cancelled before its end was written is cancelled
    Given a view of a job that completed at offset 9
    When a cancellation is read at offset 7
    Then the job is shown as "cancelled"

  Scenario Outline: A cancellation that is stored twice is one cancellation
    # An entry that loads the store reads the second record only.
    Given a view of a job whose occurrences ended as "<outcomes>"
    When a cancellation is read at offset 9
    Then the job is shown as "<shown>"

    Examples:
      | outcomes            | shown     |
      | cancelled           | cancelled |
      | failed cancelled    | cancelled |
      | completed cancelled | cancelled |
      | failed completed    | failed    |
      | completed completed | completed |

  Scenario: A fenced leader does not lead again on records read before
    Given an entry that leads term 3
    When the store refuses its records for a newer term
    Then it neither leads nor grants nor takes over at once
    When it reads that another entry leads term 4
    Then it neither leads nor grants nor takes over at once

  Scenario: A follower whose reads hang does not take over
    # It took the silence of its own connection for that of the leader.
    Given a follower that reads a renewal each 0.7 s
    When its reads hang for 10.0 s
    Then it did not try to take over

  Scenario: A follower takes over when reads show no more renewals
    Given a follower that reads a renewal each 0.7 s
    When the leader is gone for 2.1 s and reads return after 0.85 s each
    Then it tried to take over

  Scenario: Progress survives the loss of all machines
    Given a leader with 1 VMs that work on a job of 4 tasks
    When the VM reports checkpoints of all tasks for 3 s
    And a new leader loads the stored records
    Then each of its tasks has one of the last two checkpoints

  Scenario: Members of a gang start from one checkpoint
    Given a leader with 2 VMs and a stopped gang of 2 tasks
    When the gang is claimed again
    Then both members have the same checkpoint

  Scenario: A second copy of a submission is ignored
    Given a view of a job that completed at offset 5
    When its submission is read again at offset 8
    Then the copy is ignored, and the job is shown as "completed"

  Scenario: A start is refused at once while the worker does not answer
    # Load: a worker crashes without notice; starts sent to it stayed
    # unanswered until its lease had expired.
    Given an agent whose worker has not answered 2 polls
    When the leader orders a start
    Then the start is reported as refused and the worker was not called
    When the worker answers a poll
    And the leader orders the next run
    Then the worker is called

  Scenario: A VM whose worker does not answer gets no work for a while
    Given a leader with 2 VMs that work on a job of 4 tasks
    When "vm-0" refuses its starts as its worker does not answer
    Then all open tasks are claimed on "vm-1"

  Scenario: An entry that lost the race for a term can lead a later one
    Given 2 entries of which both tried to lead the first term
    When the leader ends, and the other's takeover is stored but unanswered
    And the store answers again for 3 s
    Then the other entry has led without interruption
