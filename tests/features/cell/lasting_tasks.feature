Feature: Tasks that last are restarted wherever there is room

  Scenario: The log names why VMs are left out for a task that waits
    Given a leader with 3 VMs of 8 processors
    And "vm-0" is in quarantine for 8 s
    And "vm-1" is full of long-running work
    And "vm-2" has drained
    When a long-running job of 1 tasks waits for 4 s
    Then one log line tells that it waits 3000 to 4500 ms with these reasons
      | reason     | vms |
      | quarantine | 1   |
      | no_room    | 1   |
      | draining   | 1   |

  Scenario: The log of many tasks that wait is bounded
    Given a leader with 1 VMs of 8 processors
    And "vm-0" is full of long-running work
    When a long-running job of 40 tasks waits for 10 s
    Then at most 16 log lines tell that tasks wait, no task's more often than each 5 s
