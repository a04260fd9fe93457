Feature: Real processes keep the promises under random faults

  Scenario Outline: A short seeded soak
    When seed <seed> is played for 12 s
    Then no promise is broken and work was done

    Examples:
      | seed |
      | 1    |
      | 30   |

  Scenario Outline: The soak sees a broken promise
    Given a soak's job of two steps with one task each that was <handed in>
    When workers and callers see "<events>"
    Then the soak says "<rule>" is broken

    Examples:
      | handed in | events                                      | rule    |
      | accepted  | start 9.0 at a                              | UNASKED |
      | accepted  | start 0.0 at a with another payload         | UNASKED |
      | accepted  | start 0.0 at a, start 0.0 at b              | TWICE   |
      | accepted  | start 0.0 at a, done 0.0 at a, start 0.0 at b | TWICE |
      | accepted  | start 1.0 at a                              | ORDER   |
      | refused   | start 0.0 at a                              | REFUSED |
      | accepted  | shown completed                             | MIXED   |
      | accepted  | shown cancelled                             | LOST    |
      | accepted  | shown unknown                               | LOST    |
