Feature: Each command reports its result in one sentence and an exit code

  Scenario: The help of each command lists the exit codes
    Then the help of each command lists the exit codes

  Scenario Outline: Bad input is reported in one sentence without a traceback
    When the command line "<line>" is run
    Then the command ends with <code> and one sentence with "<text>"

    Examples:
      | line                                     | code | text                |
      | route list --entry 127.0.0.1:1           | 3    | no entry answers    |
      | route list --entry nonsense              | 3    | no entry answers    |
      | route set                                | 2    | Missing argument    |
      | nothing                                  | 2    | No such command     |
      | bench nothing                            | 1    | there is no bench   |
      | check /nowhere.ini                       | 1    | nowhere.ini         |
      | explain aa --logs /nowhere.log           | 1    | nowhere.log         |
      | entry /nowhere.ini                       | 1    | nowhere.ini         |
      | demo --deployment nowhere                | 2    | nowhere             |
      | bench capacity --deployment nowhere      | 1    | nowhere             |

  Scenario: Of two concurrent edits the refused one gets the reason and the row
    Given the deployment caribfert with 1 VMs and 2 entries
    When the command line sets timeout_s=2 and then 3 against the same version
    Then the command ends with 1 and one sentence with "your edit was made against"
    And the command's output has "the row is now"
    And the command's output has "2.0"

  Scenario: An edit during a log outage is reported as not accepted
    Given the deployment caribfert with 1 VMs and 1 entries
    And operators wait 0.5 s for the log
    When the log is down while the command line sets timeout_s=2
    Then the command ends with 1 and one sentence with "the log does not answer"

  Scenario: The outcome of an undecided edit can be queried, and a retry is idempotent
    Given the deployment caribfert with 1 VMs and 1 entries
    And operators wait 0.5 s for the log
    When the log is not read while the command line sets timeout_s=2
    Then the command ends with 4 and one sentence with "route fate"
    And the outcome of the edit is "accepted"
    And a retry of the edit returns the same version

  Scenario: An edit whose append responses are lost is accepted once
    Given the deployment caribfert with 1 VMs and 1 entries
    When each response of the log is lost while the command line sets timeout_s=2
    Then the command ends with 0 and its output has "accepted as version"
    And the row was changed by one accepted edit

  Scenario Outline: An address in use is reported in one sentence
    Given entry settings whose <port> port is taken
    When the command line runs an entry by these settings
    Then the command ends with 1 and one sentence with "can't listen"

    Examples:
      | port     |
      | control  |
      | operator |
      | caller   |

  Scenario: Saved output of all processes explains the history of a job
    Given saved output of an entry and two agents that ran a job
    When the command line explains the job from the saved output
    Then the command's output has these lines in order
      | line                              |
      | entry-0 job: submitted            |
      | entry-0 place: claimed            |
      | vm-1 worker: start done           |
      | entry-0 run: given up             |
      | waited_ms=3050, quarantine=2      |
      | vm-0 worker: start done           |
      | entry-0 job: occurrence completed |
    And the command's output does not have "0000000000000bbb"
    When the command line explains "0000000000000ccc" from the saved output
    Then the command ends with 1 and its output has "no log line mentions the id"
