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

  # Load: reports, leases and renewals wait while the leader looks for a query,
  # which it does ten times a second while there is none.
  Scenario: The look for a query doesn't visit all VMs for each waiting step
    Given a leader with 20 VMs and 300 jobs in an advised queue
    And the adviser has been queried for all of them
    When the next query is looked for 4 times
    Then each look visited no VM more than once
    And no look visited the workers of more than 128 steps
    And the last look visited the workers of no step

  Scenario: The adviser is queried for a new VM for each waiting step
    Given a leader with 20 VMs and 300 jobs in an advised queue
    And the adviser has been queried for all of them
    When "vm-20" reports for the first time
    Then the adviser is queried for "vm-20" alone, once for each job

  Scenario: The adviser is queried again for all steps once its answers expire
    Given a leader with 20 VMs and 300 jobs in an advised queue
    And the adviser has been queried for all of them
    When the answers expire
    Then the adviser is queried for all VMs, once for each job

  Scenario: The queries for jobs that have ended are forgotten
    Given a leader with 20 VMs and 300 jobs in an advised queue
    And the adviser has been queried for all of them
    When all jobs are cancelled
    Then no query of an ended job is remembered
