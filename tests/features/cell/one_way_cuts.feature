Feature: Guarantees hold while messages get through in one direction only

  Scenario: Orders to a VM that is not heard extend no lease
    Given a cell of 2 VMs and 2 entries for seeds 1-5
    When the reports of a VM with running tasks are lost for 12 s
    Then orders have arrived there, and its leases have ended by the leader's account
    And no guarantee of the cell is violated

  Scenario: An end that the leader has not heard of is not acknowledged
    Given a cell of 2 VMs and 2 entries for seeds 1-5
    When the reports of a VM with running tasks are lost for 12 s
    Then its worker has kept the ends until its lease expired
    And tasks done there have been started again, and only after that
    And no guarantee of the cell is violated

  Scenario: Ends are acknowledged once they are heard of again
    Given a cell of 2 VMs and 2 entries for seeds 1-5
    When the reports of a VM with running tasks are lost for 12 s
    And the cell is undisturbed for 5 s
    Then its worker lists no ends any more
    And no guarantee of the cell is violated

  Scenario: A task does not wait for as long as its VM gets no orders
    Given a cell of 4 VMs and 2 entries for seeds 1-5
    When no orders get through to a VM for 30 s, while jobs are submitted
    Then each task started within two leases, and soon once none was claimed there
    When the cell is undisturbed for 5 s
    Then no guarantee of the cell is violated
    And all jobs of the cell have ended or are running
    And the VM gets work again

  Scenario Outline: A task is not started again after its end was heard of
    Given a task whose run on a lost VM was abandoned, and that is claimed anew
    When the lost VM reports the run as <how> <time> its new start is ordered
    Then the task is <phase> and its new start is <start>

    Examples:
      | how    | time   | phase   | start       |
      | done   | before | done    | not ordered |
      | done   | after  | claimed | ordered     |
      | failed | before | claimed | ordered     |
      | lapsed | before | claimed | ordered     |
