Feature: Sequences of faults that broke a promise once

  Scenario Outline: after a fault: <sequence>
    Given the fault sequence "<sequence>"
    When it runs with "nothing" broken
    Then no check of the oracle goes red

    Examples:
      | sequence                               |
      | a job ends while its agent is replaced |
      | a start's answer is lost               |
      | an agent stops while requests are on their way |
      | records age out while an entry is away |

  Scenario: a good job is not starved by jobs that always fail
    Given the fault sequence "jobs that always fail stand before a good one"
    When it runs with "nothing" broken
    Then no check of the oracle goes red
