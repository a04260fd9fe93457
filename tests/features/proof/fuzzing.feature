Feature: Entries and agents keep all guarantees under scripted faults

  Scenario Outline: the <machine> state machine finds no violation
    When the fuzzing machine "<machine>" runs <examples> fixed examples
    Then the fuzzing oracle found no violation

    Examples:
      | machine  | examples |
      | requests | 25       |
      | batch    | 25       |
      | tables   | 25       |
      | all      | 25       |
