Feature: What callers are told, with real sockets

  Scenario: Keys at the agents hold over entries and restarts of agents
    Given the deployment caribfert with 2 VMs and 2 entries
    And a route "/standing" whose keys the agents keep
    When a caller sends "/standing/a" with key "k1" to entry 0
    Then the caller is told 200 with "ran"
    When a caller sends "/standing/a" with key "k1" to entry 1
    Then the caller is told 409 with "may-have-run" because of RepeatedKeyError
    When all agents start again
    And a caller sends "/standing/a" with key "k1" to entry 1
    Then the caller is told 409 with "may-have-run" because of UnknownKeyError
    And the endpoints ran the caller's requests 1 times

  Scenario: Deadlines, limits and malformed requests get a true answer
    Given the deployment caribfert with 1 VMs and 1 entries
    And a route "/slow" that takes 1 s and allows a customer 2 requests/s
    When a caller sends "/slow/a" with header "Yuccapoint-Timeout-S: soon"
    Then the caller is told 400 with "not-run" because of BadRequestError
    When a caller sends "/slow/a" with header "Yuccapoint-Timeout-S: 0.1"
    Then the caller is told 504 with "may-have-run" because of DeadlinePassedError
    When a caller sends "/slow/a" 6 times at once
    Then the last of them is told 429 with "not-run" and when to come back
    When a caller sends bytes that are no request
    Then the caller's connection is answered 400
