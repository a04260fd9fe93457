Feature: Starts that the worker refused

  Scenario: An older order does not repeat a start that was refused
    # The leader releases the claim when it reads the refusal, and may have
    # claimed the task elsewhere when its older order arrives.
    Given an agent whose worker has no room for a start
    When an order without the start, older than the refusal, arrives
    And an order with the start, older than the refusal, arrives
    Then the start is not sent again and reported as refused
    When the leader answers a report of the refusal
    Then the start is not reported any more

  Scenario: A refusal is reported until a report with the worker is answered
    # The leader ignores the runs of a report without a worker.
    Given an agent whose worker has no room for a start
    When it reports the refusal without the worker, and that is answered
    Then the start is not sent again and reported as refused
