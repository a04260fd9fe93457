Feature: An unexpected error affects one decision, not the process

  Scenario: A failed scheduling round does not end the leader's process
    Given a platform with 1 entries and 1 VMs
    When the next 2 scheduling rounds of the leader fail
    And a caller submits a job of 1 steps with 2 tasks each
    Then the response status is 200
    And the job is "completed" within 8 s at each entry
    And no process has failed

  Scenario: A job that can't be loaded does not hold up the others
    Given a platform with 1 entries and 1 VMs
    When the store holds a job whose stored state names an unknown worker
    And the leader loads the stored jobs again
    And a caller submits a job of 1 steps with 2 tasks each
    Then the response status is 200
    And the job is "completed" within 8 s at each entry
    And no process has failed

  Scenario: A store that has always forgotten is not read in a loop
    Given a store that refuses each offset as expired
    When the cell and the config are followed for 1 s
    Then each was read between 2 and 20 times

  Scenario: A worker that leaves stays out of use after a restart of its agent
    # A check-in from before the notice may reach the new agent.
    Given a leader with 1 VMs of 8 processors
    When the agent reports that its worker drains
    And the agent restarts and reports the worker as ready
    And a large job "bb" and a small job "cc" are submitted that can be on time
    And the leader plans
    Then no task is claimed

  Scenario: A caller's record is not appended in quick succession
    Given a store that answers no append for 2 s
    When a caller's record is appended with 2 s left
    Then the store got at most 8 appends and the outcome is "may-be-accepted"
