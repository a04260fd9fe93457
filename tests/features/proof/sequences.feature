Feature: Fault sequences that once violated a guarantee

  Scenario Outline: after a fault: <sequence>
    Given the fault sequence "<sequence>"
    When it runs with "nothing" disabled
    Then no oracle check fails

    Examples:
      | sequence                                      |
      | a job ends while its agent is replaced        |
      | the response to a start is lost               |
      | an agent stops while requests are in transit  |
      | records expire while an entry is disconnected |

  Scenario: jobs that always fail do not starve a valid job
    Given the fault sequence "jobs that always fail are queued before a valid one"
    When it runs with "nothing" disabled
    Then no oracle check fails
