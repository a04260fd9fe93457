Feature: Requests that make endpoints fail

  Scenario: A request that crashes its endpoints does not reach all of them
    Given 10 endpoints that crash when they run a request
    When an idempotent request with a large retry budget is forwarded
    Then 3 endpoints ran it, and the caller is told "may-have-run"

  Scenario: A request that no endpoint ran is sent to further ones
    Given 6 endpoints that refuse requests unread
    When an idempotent request with a large retry budget is forwarded
    Then all endpoints were tried
