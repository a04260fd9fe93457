Feature: The path of a request from an entry through an agent to an endpoint

  Background:
    Given an agent session to an agent with a scripted endpoint

  Scenario Outline: A faulty response of an endpoint reaches the entry as an error
    When the session requests "<path>"
    Then the session's request fails with <reason> and "<verdict>"

    Examples:
      | path              | reason              | verdict      |
      | /break/100        | EndpointFailedError | may-have-run |
      | /nolength/100     | EndpointFailedError | may-have-run |
      | /silent           | EndpointFailedError | may-have-run |
      | /never            | DeadlinePassedError | may-have-run |

  Scenario: A large response that is cut off is reported as aborted
    When the session requests "/break/400000"
    Then the session's response is aborted after its head

  Scenario: A large response waits for its reader and arrives complete
    When the session requests "/whole/8000000"
    Then at most 9 chunks of the response are buffered at the entry
    And the session reads 8000000 bytes to the end

  Scenario: Connections to the endpoint are reused
    When the session requests "/whole/10" 20 times in sequence
    Then the scripted endpoint saw 1 connections and 20 runs

  Scenario: Neither a request cancelled in the queue nor its late copy is run
    Given all slots of the scripted endpoint are in use
    When the session requests "/whole/10" and cancels it
    And a late copy of the cancelled request arrives
    Then the agent rejected the cancelled request with "not-run"
    And the scripted endpoint saw 0 connections and 0 runs
    And the agent counted 1 late copies

  Scenario: A cancel that arrives before its request prevents the run
    When a cancel arrives before its request
    Then the scripted endpoint saw 0 connections and 0 runs
    And the agent counted 1 late copies

  Scenario: A request with an incomplete body is not run
    When the session is lost between two chunks of a body
    Then the session's request fails with SessionLostError and "not-run"
    And the scripted endpoint saw 0 connections and 0 runs

  Scenario: The agent of another VM at the same address gets no request
    Given the session expects another VM
    When the session requests "/whole/10"
    Then the session's request fails with SessionLostError and "not-run"

  Scenario: A refusal carries the class of its error
    Given the scripted endpoint has left
    When the session requests "/whole/10"
    Then the session's request fails with NoEndpointError and "not-run"
