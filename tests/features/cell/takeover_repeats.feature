Feature: A takeover that is repeated grants leases from its first attempt

  # TWICE: the next leader counts leases from the record of the first attempt,
  # which it read when it was stored.
  Scenario: The answer of the first attempt is lost
    Given an entry whose first attempt to lead term 5 at 10.0 s is unanswered
    When its attempt to lead term 5 at 11.6 s is answered
    Then it may grant leases until 12.5 s

  Scenario: An attempt at a later term counts anew
    Given an entry whose first attempt to lead term 5 at 10.0 s is unanswered
    When its attempt to lead term 6 at 14.0 s is answered
    Then it may grant leases until 16.5 s

  Scenario Outline: No leader grants leases longer than its records allow
    Given the simulated cell with seed <seed> and 6 VMs
    When 40 s pass with disruptions "entry_freeze,link_slow,store_slow"
    Then no leader's right to grant outlasted its newest record by 2.5 s

    Examples:
      | seed |
      | 14   |
      | 18   |
      | 24   |
