Feature: Sessions that fall silent without being closed

  Background:
    Given an agent session to an agent with a scripted endpoint by a proxy
    And a request on the session was answered

  Scenario: A silent session is replaced
    # Each request to the VM waited for its whole deadline, for good.
    When the open connections of the session fall silent
    Then a request fails as "may-have-run" within 4 s
    And the next request is answered within 1 s

  Scenario: A claim on a silent session ends before its deadline
    When the open connections of the session fall silent
    Then a claim fails within 4 s

  Scenario: A session is kept while an endpoint takes long
    When a request has waited for its endpoint for 4 s
    Then the session was not replaced

  Scenario: A session is kept while its agent is paused
    # Its request may be running, and a new connection gets no handshake.
    When the agent delays all it receives by 2.5 s
    Then a request is answered within 12 s
    And the session was not replaced

  Scenario: An agent gives up a request whose body does not arrive
    # It stayed in flight for good, and a planned stop waited for it.
    When the open connections fall silent after the head of a request
    Then the agent has no request in flight after 1 s
    And the scripted endpoint saw 1 connections and 1 runs

  Scenario: An agent that does not confirm probes receives none
    Given an agent of a version without probes
    When a request has been unanswered for 3 s
    Then the agent has received a handshake and a request
