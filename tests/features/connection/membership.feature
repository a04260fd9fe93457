Feature: Members are found, and told apart from their former selves

  Scenario: A late hello of a former start does not displace the new one
    Given an entry directory that heard "e1@5" at 0.0 s from "1.1.1.1:1"
    When the directory hears "e1@9" at 1.0 s from "1.1.1.1:1"
    And the directory hears "e1@5" at 1.1 s from "1.1.1.1:1"
    Then the directory's live entries at 1.2 s are "e1@9"

  Scenario: A paused process doubts itself and not the others
    Given an entry directory that heard "e1@5" at 0.0 s from "1.1.1.1:1"
    When the directory runs each 0.05 s from 0.0 s to 0.9 s
    And the directory runs next at 11.0 s
    Then the directory's live entries at 11.1 s are "e1@5"
    And the directory has no live entries at 16.0 s

  Scenario: A member whose hellos come late is slow and not dead
    Given a failure detector that hears "a" with gaps "0.5, 1.9, 0.4, 2.4, 0.5, 2.6, 0.3, 2.5, 2.6" s
    Then the detector says "slow" after 2.9 s of silence
    And the detector says "dead" after 8.1 s of silence

  Scenario: An address from the log is tried, and forgotten after a while
    Given an entry directory that heard "e1@5" at 0.0 s from "1.1.1.1:1"
    When the directory learns "2.2.2.2:2" from the log at 1.0 s
    Then the directory tries "2.2.2.2:2" at 30.0 s
    And the directory does not try "2.2.2.2:2" at 62.0 s

  Scenario: An entry that starts with the log down takes newer tables
    Given the deployment caribfert with 1 VMs and 2 entries
    When the log is down and the second entry is started anew
    Then the new entry is ready with the tables of the first
    And an older loan of tables is not put in force
