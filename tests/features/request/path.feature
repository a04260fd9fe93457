Feature: The path from an entry's session over the agent to its endpoint

  Background:
    Given an agent session to an agent with a scripted endpoint

  Scenario Outline: A faulty endpoint answer reaches the entry as an error
    When the session requests "<path>"
    Then the session's request fails as <reason> with "<verdict>"

    Examples:
      | path              | reason              | verdict      |
      | /break/100        | EndpointFailedError | may-have-run |
      | /nolength/100     | EndpointFailedError | may-have-run |
      | /silent           | EndpointFailedError | may-have-run |
      | /never            | DeadlinePassedError | may-have-run |

  Scenario: A large answer that breaks off is not taken for whole
    When the session requests "/break/400000"
    Then the session's answer breaks off after its head

  Scenario: A large answer waits for its reader and comes whole
    When the session requests "/whole/8000000"
    Then at most 9 parts of the answer wait at the entry
    And the session reads 8000000 bytes to the end

  Scenario: Connections to the endpoint are kept
    When the session requests "/whole/10" 20 times in turn
    Then the scripted endpoint saw 1 connections and 20 runs

  Scenario: A request cancelled in the queue was not run, nor is its late copy
    Given all slots of the scripted endpoint are taken
    When the session requests "/whole/10" and cancels it
    And a late copy of the cancelled request arrives
    Then the agent answered the cancelled request "not-run"
    And the scripted endpoint saw 0 connections and 0 runs
    And the agent counted 1 late copies

  Scenario: A cancel that overtakes its request stops it
    When a cancel arrives before its request
    Then the scripted endpoint saw 0 connections and 0 runs
    And the agent counted 1 late copies

  Scenario: A request whose body did not come whole was not run
    When the session breaks between two parts of a body
    Then the session's request fails as SessionLostError with "not-run"
    And the scripted endpoint saw 0 connections and 0 runs

  Scenario: An agent of another VM at the same address gets no request
    Given the session expects another VM
    When the session requests "/whole/10"
    Then the session's request fails as SessionLostError with "not-run"

  Scenario: A refusal names its class
    Given the scripted endpoint has left
    When the session requests "/whole/10"
    Then the session's request fails as NoEndpointError with "not-run"
