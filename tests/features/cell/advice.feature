Feature: Steps of an advised queue start only where the adviser allows it

  Scenario: No start without a ticket
    Given a leader with 3 VMs and a job of 2 tasks in an advised queue
    When the leader plans
    Then no task is claimed

  Scenario: Starts carry the ticket of their worker
    Given a leader with 3 VMs and a job of 2 tasks in an advised queue
    When the adviser allows "vm-1" with ticket "t-1"
    And the leader plans
    Then all claims are on "vm-1" and their starts carry "t-1"

  Scenario: An expired ticket starts nothing
    Given a leader with 3 VMs and a job of 2 tasks in an advised queue
    When the adviser allows "vm-1" with ticket "t-1"
    And 20 s pass
    And the leader plans
    Then no task is claimed

  Scenario: The adviser is queried once while its answer is valid
    Given a leader with 3 VMs and a job of 2 tasks in an advised queue
    When the leader queries the adviser
    Then a second query names no worker
    And after a lost answer the same workers are queried again
