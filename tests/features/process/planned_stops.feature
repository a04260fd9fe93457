Feature: A planned stop aborts no work

  Scenario Outline: Under load a planned stop of a <role> loses no answer
    Given the deployment caribfert with 3 VMs and 3 entries
    When a <role> is stopped as planned under load
    Then the planned stop aborted nothing and each request was answered
    And no work started at the stopped member 3 s after the stop began
    And no invariant was violated

    Examples:
      | role     |
      | endpoint |
      | agent    |
      | entry    |

  Scenario: A stopping agent's tasks are recorded as ended before it exits
    Given the deployment caribfert with 2 VMs and 2 entries
    When an agent that runs 4 tasks is stopped as planned
    Then no attempt at the stopped agent is open in the log
    And each of the 4 tasks resumed from its checkpoint elsewhere

  Scenario: A second signal stops the process and lists the aborted work
    Given the deployment caribfert with 1 VMs and 1 entries
    When an entry with a request of 3 s receives two stop signals
    Then the process exits with code 5 and prints "1 requests in flight"

  Scenario Outline: No request is taken that an exiting entry does not read
    # LOST: the kernel took requests on connections that nobody read any more.
    Given an entry that serves callers by <protocol>
    And a caller whose request on a kept connection was answered
    When it sends another one at the last moment before the entry exits
    Then the entry has closed the connection before

    Examples:
      | protocol |
      | HTTP     |
      | HTTPS    |

  Scenario: A process that is closed at once takes no more requests
    # Its connections were open through the teardown of the interpreter.
    Given an entry that serves callers by HTTP
    And a caller whose request on a kept connection was answered
    When the entry closes everything at once
    Then no caller is connected

  Scenario Outline: A connection that waits to be accepted at a stop is served
    # Closing the listening socket resets what waits in its queue.
    Given an entry that serves callers by <protocol>
    When a caller connects right before the entry stops listening
    Then it is answered 429 with "not-run"
    And the answer announces that the connection is closed

    Examples:
      | protocol |
      | HTTP     |
      | HTTPS    |

  Scenario: A connection reset while it waits does not end a planned stop
    Given an entry that serves callers by HTTPS
    When a caller resets its connection right before the entry stops listening
    Then the entry stops with nothing aborted and no caller connected

  Scenario: No operator's request is taken that an exiting entry does not read
    Given an entry that serves callers by HTTPS
    And an operator whose request on a kept connection was answered
    When it sends another one at the last moment before the entry exits
    Then the entry has closed the connection before

  Scenario: An operator's edit in progress is answered before the entry exits
    Given an entry that serves callers by HTTP
    When an operator cancels a job late in a stop while the log is down
    Then the operator is answered that the log does not answer

  Scenario: An operator who watches decisions does not delay a planned stop
    Given an entry that serves callers by HTTP
    When it stops while an operator watches its decisions
    Then it has stopped within 4 s

  Scenario: Responses on a slow link are not cut off by their agent's exit
    Given an agent with an endpoint and a session of an entry on a slow link
    When it stops while 40 responses of 60000 bytes are on their way to the entry
    Then the entry received 40 complete responses before the agent left
