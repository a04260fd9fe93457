Feature: Steps of an advised queue start only where the adviser allows it

  Scenario: No start without a ticket
    Given a leader with 3 VMs and an advised job of 2 tasks
    When the leader plans
    Then no task is claimed

  Scenario: Starts carry the ticket of their worker
    Given a leader with 3 VMs and an advised job of 2 tasks
    When the adviser allows "vm-1" with ticket "t-1"
    And the leader plans
    Then all claims are on "vm-1" and their starts carry "t-1"

  Scenario: A ticket that ran out starts nothing
    Given a leader with 3 VMs and an advised job of 2 tasks
    When the adviser allows "vm-1" with ticket "t-1"
    And 20 s pass
    And the leader plans
    Then no task is claimed

  Scenario: The adviser is asked once while its answer holds
    Given a leader with 3 VMs and an advised job of 2 tasks
    When the leader asks the adviser
    Then a second question names no worker
    And after a lost answer the same workers are asked again
