Feature: Real processes keep the promises under random faults

  Scenario: A short seeded soak
    When seed 1 is played for 10 s
    Then no promise is broken and work was done
