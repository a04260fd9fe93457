Feature: A planned stop cuts off nothing

  Scenario Outline: Under load a planned stop of a <role> loses no answer
    Given the deployment caribfert with 3 VMs and 3 entries
    When a <role> is stopped as planned under load
    Then the planned stop cut nothing and each request was answered
    And no work began at the stopped member 3 s after the stop began
    And no promise was broken

    Examples:
      | role     |
      | endpoint |
      | agent    |
      | entry    |

  Scenario: A stopped agent's tasks are noted as ended before it goes
    Given the deployment caribfert with 2 VMs and 2 entries
    When an agent that runs 4 tasks is stopped as planned
    Then no attempt at the stopped agent is open in the log
    And each of the 4 tasks resumed from its checkpoint elsewhere

  Scenario: A second signal ends a process with a list of what was cut
    Given the deployment caribfert with 1 VMs and 1 entries
    When an entry with a request of 3 s is told twice to stop
    Then the process ends with code 5 and says "1 requests in flight"
