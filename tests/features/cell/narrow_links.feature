Feature: Reads that are lost or take long don't stop a cell

  Scenario Outline: Links of entries are too narrow for reads
    Given a cell of 4 VMs and 3 entries for seeds <seeds>
    When jobs are submitted for 40 s with disruptions "<troubles>"
    And the cell is undisturbed for 45 s
    Then no guarantee of the cell is violated
    And all jobs of the cell have ended or are running

    Examples:
      | seeds | troubles                                  |
      | 2-3   | reads_lost                                |
      | 1     | reads_lost and entry_kill                 |
      | 2     | link_narrow and power_off_all             |
      | 1     | reads_lost and link_narrow and entry_stop |

  Scenario: Tasks that last are restarted beside reads that take long
    Given a cell of 4 VMs and 3 entries that gets only tasks that last for seeds 1
    When jobs are submitted for 40 s with disruptions "reads_lost and link_narrow and failing_runs"
    And the cell is undisturbed for 45 s
    Then no guarantee of the cell is violated
    And all jobs of the cell have ended or are running

  Scenario Outline: The checks detect a leader that can't read and leads on
    Given a cell of 4 VMs and 3 entries for seeds <seed>
    And the program has the fault "a leader that can't read leads on"
    When jobs are submitted for 40 s with disruptions "reads_lost"
    And the cell is undisturbed for 45 s
    Then the guarantee "<rule>" of the cell is violated

    Examples:
      | seed | rule    |
      | 2    | UNASKED |
      | 3    | LOST    |
