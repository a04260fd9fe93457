Feature: Selection of an endpoint

  Scenario: A failing endpoint is quarantined and returns after a probe
    Given a router with reports of 6 endpoints
    When endpoint 0 of the router fails during 200 requests
    Then fewer than 20 of them went to endpoint 0 of the router
    And endpoint 0 of the router is "quarantined"
    When endpoint 0 of the router succeeds during 2000 requests in 20 seconds
    Then endpoint 0 of the router is "ready"

  Scenario: At most half of a service's endpoints are quarantined
    Given a router with reports of 6 endpoints
    When all endpoints of the router fail during 300 requests
    Then at most 3 endpoints of the router are "quarantined"

  Scenario: Leaving and silent endpoints get no requests
    Given a router with reports of 6 endpoints
    When endpoint 1 of the router reports "leaving"
    And all but endpoint 2 of the router are silent for 4 seconds
    Then 100 choices of the router all select endpoint 2

  Scenario: A report that a later one overtook changes nothing
    # A reopened connection delivers before what the former one still holds.
    Given a router with reports of 6 endpoints
    When endpoint 1 of the router reports "leaving"
    And an earlier report of endpoint 1 of the router arrives late
    Then endpoint 1 of the router is "leaving"

  Scenario: Overloaded tiers spill over, to the other region last
    Given a router with reports of 6 endpoints, two in each tier
    Then 100 choices of the router all select tier "data centre"
    When the router's tier "data centre" is overloaded
    Then 100 choices of the router all select tier "region"
    When the router's tier "region" is overloaded
    Then 100 choices of the router all select tier "far"

  Scenario: A subset changes little when an endpoint joins or leaves
    Given a router that shares 1000 endpoints with 40 entries
    When one endpoint leaves the router and another joins
    Then the router's subset of 200 differs in at most 4 endpoints
