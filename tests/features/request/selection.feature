Feature: Choice of an endpoint

  Scenario: An endpoint that fails everything is quarantined and probed back
    Given a router that heard of 6 endpoints
    When endpoint 0 of the router fails everything for 200 requests
    Then less than 20 of them went to endpoint 0 of the router
    And endpoint 0 of the router is "quarantined"
    When endpoint 0 of the router works for 2000 requests in 20 seconds
    Then endpoint 0 of the router is "ready"

  Scenario: At most half of a service's endpoints are quarantined
    Given a router that heard of 6 endpoints
    When all endpoints of the router fail everything for 300 requests
    Then at most 3 endpoints of the router are "quarantined"

  Scenario: Leaving and silent endpoints get nothing
    Given a router that heard of 6 endpoints
    When endpoint 1 of the router reports "leaving"
    And all but endpoint 2 of the router are silent for 4 seconds
    Then 100 choices of the router all fall on endpoint 2

  Scenario: A full near side spills over, the far side last
    Given a router that heard of 6 endpoints, two in each place
    Then 100 choices of the router all lie in the "data centre"
    When the router's "data centre" is full
    Then 100 choices of the router all lie in the "region"
    When the router's "region" is full
    Then 100 choices of the router all lie in the "far"

  Scenario: A subset changes little when one endpoint joins or leaves
    Given a router that shares 1000 endpoints with 40 entries
    When one endpoint leaves the router and another joins
    Then the router's subset differs in at most 4 of 200 places
