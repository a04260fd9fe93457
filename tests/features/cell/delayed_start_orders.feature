Feature: Start orders on a link that delays messages by seconds

  Scenario: A refused start is not made while its refusal is on its way
    # Slow link: a task ran twice, as the agent forgot the refusal when it got
    # other orders, and made the start when the leader repeated it.
    Given a leader and an agent whose worker does not answer
    When the leader orders a start, and the refusal is on its way
    And other orders reach the agent
    And the worker answers again
    And the leader repeats the start
    And the leader gets the report and claims the next run elsewhere
    Then the worker gets no start of the first run

  Scenario: A start that was ordered before a lapse is not made after it
    Given a leader and an agent whose worker does not answer
    When a report that the worker's lease has expired is on its way
    And the worker answers again
    And the leader orders a start by its last report
    And the leader gets the report and claims the next run elsewhere
    Then the worker gets no start of the first run
