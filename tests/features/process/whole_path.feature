Feature: End-to-end requests over real loopback sockets

  Scenario Outline: Answers are complete and reach the right callers
    Given the deployment <name> with 3 VMs and 2 entries
    When 2000 requests are sent with 32 in flight
    Then each request received its own complete answer
    And no invariant was violated

    Examples:
      | name      |
      | caribfert |
      | cyfiawn   |

  Scenario: A request is forwarded unchanged
    Given the deployment caribfert with 1 VMs and 1 entries
    When a request with repeated headers, a query and 5 megabytes is sent
    Then the endpoint saw the method, target, headers and body unchanged

  Scenario: A body above the limit is refused as not run
    Given the deployment caribfert with 1 VMs and 1 entries
    When a request with 17 megabytes is sent
    Then the answer is 413 with verdict "not-run"

  Scenario: A job is claimed, run and explained
    Given the deployment cyfiawn with 2 VMs and 2 entries
    When a job is submitted and ends
    Then the job is "done" after 1 attempts
    And no invariant was violated
