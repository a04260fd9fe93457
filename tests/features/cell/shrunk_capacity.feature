Feature: Workers whose capacity shrinks

  Scenario: A claim is not started after its VM's room has shrunk
    # Slow store: claims became durable after the shrink and were started.
    Given a leader with a VM and claims that are not stored yet
    When the VM reports room for 1 of them, and the claims are stored
    Then 1 start is ordered
    When the VM reports room for all of them
    Then the other tasks are claimed there again

  Scenario: A start that was ordered before a shrink is not repeated
    Given a leader with a VM and claims whose starts were ordered
    When the VM reports room for 1 of them
    Then 0 starts are ordered
    And no run is stopped
    When nothing is heard of the starts for 3 s
    Then 0 starts are ordered
    And all but 1 of the runs are stopped

  Scenario: Runs that no longer fit go on
    Given a leader with a VM and claims whose starts were ordered
    When the VM reports that all run, and room for 1 of them
    And 3 s pass in which the VM reports so
    Then 0 starts are ordered
    And no run is stopped

  Scenario: No member of a gang waits for one whose VM's room has shrunk
    Given a leader with 2 VMs and a gang on both that is not stored yet
    When the first VM reports room for 1 of its members, and it is stored
    Then 0 starts are ordered
    And no member of the gang holds a claim

  Scenario: No member of a gang waits for one that was refused
    Given a leader with 2 VMs and a gang on both that is not stored yet
    When it is stored, and the first VM refuses a member for want of room
    Then its 3 other members are stopped

  Scenario: A start that was planned before the worker shrank is not made
    # Slow link: the agent knew of the shrink seconds before the leader.
    Given a leader and an agent whose worker has room for a task
    When the worker checks in without room, and that report is on its way
    And the leader orders a start by its last report
    Then the worker gets no start of the first run
    When the leader gets the report
    Then the start is not claimed there again

  Scenario: An unanswered start is not repeated after the worker shrank
    Given a leader and an agent whose worker has room for a task
    When the leader orders a start by its last report
    And the worker checks in without room while the start is pending
    And the start call gets no answer
    Then the start is not repeated but stopped

  Scenario: An agent reports a changed capacity at once
    Given a leader and an agent whose worker has room for a task
    When the worker checks in without room
    Then a report of no room is due
    When the worker checks in with room again
    Then a report of the room is due

  Scenario: A start does not follow a check-in from before a suspension
    # The agent was suspended for 4 s; its worker had shrunk meanwhile.
    Given a leader and an agent whose worker has room for a task
    When a start is ordered and the agent is suspended for 4 s
    And a check-in of the time before and the worker's clock arrive
    Then the worker gets no start of the first run
    And the start is reported as refused: "unreachable"

  Scenario: An answer from before a suspension does not renew a check-in
    # The answer waited in a buffer with the check-in.
    Given a leader and an agent whose worker has room for a task
    When a start is ordered and the agent is suspended for 4 s
    And a check-in and the answer to a poll of the time before arrive
    Then the worker gets no start of the first run
    And the start is reported as refused: "unreachable"

  Scenario Outline: Room held by a run without a claim is not claimed
    Given a leader with a VM with room for one task, and a waiting job
    When the VM reports that <run>
    Then the VM gets no claim
    And the run is stopped
    When the VM reports that it runs nothing
    Then the VM gets a claim

    Examples:
      | run                                |
      | a run of an unknown job is running |
      | an abandoned start is pending      |
