Feature: Real entries and agents under scripted faults keep all promises

  Scenario Outline: The machine for <machine> finds no broken promise
    When the fuzzing machine "<machine>" runs <examples> fixed examples
    Then the fuzzing oracle saw no broken promise

    Examples:
      | machine  | examples |
      | requests | 25       |
      | batch    | 25       |
      | tables   | 25       |
      | all      | 25       |
