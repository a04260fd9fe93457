Feature: More ends than a worker lists at a time

  Scenario: A run whose end is not listed yet is not taken for forgotten
    Given an agent whose worker runs a task
    When the run ends after 500 others that are not acknowledged
    Then the run is reported as running
    And a stop of the run is not reported as its refusal
    When the others are acknowledged and the worker lists its end
    Then the end of the run is reported

  Scenario: No run is started while ends may be missing
    Given an agent whose worker runs a task
    When the run ends after 500 others that are not acknowledged
    Then an order of another run starts nothing
    When the others are acknowledged and the worker lists its end
    Then an order of another run starts it
