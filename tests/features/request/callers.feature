Feature: Responses to callers over real sockets

  Scenario: Keys claimed at the agents hold across entries and agent restarts
    Given the deployment caribfert with 2 VMs and 2 entries
    And a route "/standing" whose keys are claimed at the agents
    When a caller sends "/standing/a" with key "k1" to entry 0
    Then the caller gets 200 with "ran"
    When a caller sends "/standing/a" with key "k1" to entry 1
    Then the caller gets 409 with "may-have-run" and reason RepeatedKeyError
    When all agents restart
    And a caller sends "/standing/a" with key "k1" to entry 1
    Then the caller gets 409 with "may-have-run" and reason UnknownKeyError
    And the endpoints ran the caller's requests 1 time in total

  Scenario: Deadlines, limits and malformed requests get accurate responses
    Given the deployment caribfert with 1 VMs and 1 entries
    And a route "/slow" that takes 1 s with a limit of 2 requests/s per customer
    When a caller sends "/slow/a" with header "Yuccapoint-Timeout-S: soon"
    Then the caller gets 400 with "not-run" and reason BadRequestError
    When a caller sends "/slow/a" with header "Yuccapoint-Timeout-S: 0.1"
    Then the caller gets 504 with "may-have-run" and reason DeadlinePassedError
    When a caller sends "/slow/a" 6 times concurrently
    Then the last of them gets 429 with "not-run" and a retry time
    When a caller sends bytes that are not an HTTP request
    Then the caller's connection gets status 400
