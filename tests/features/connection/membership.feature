Feature: Members are discovered and distinguished by incarnation

  Scenario: A late heartbeat of an earlier incarnation does not replace the newer one
    Given an entry directory with a heartbeat of "e1@5" at 0.0 s from "1.1.1.1:1"
    When the directory receives a heartbeat of "e1@9" at 1.0 s from "1.1.1.1:1"
    And the directory receives a heartbeat of "e1@5" at 1.1 s from "1.1.1.1:1"
    Then the directory's live entries at 1.2 s are "e1@9"

  Scenario: A member that restarts with its clock set back is found again
    # Its heartbeats were ignored for as long as its former start was known.
    Given an entry directory with a heartbeat of "e1@9" at 0.0 s from "1.1.1.1:1"
    When the directory receives a heartbeat of "e1@5" at 1.0 s from "1.1.1.1:2"
    Then the directory's live entries at 1.1 s are "e1@9"
    When the directory receives a heartbeat of "e1@5" at 6.0 s from "1.1.1.1:2"
    Then the directory's live entries at 6.1 s are "e1@5"
    When the directory receives a heartbeat of "e1@5" at 6.5 s from "1.1.1.1:2"
    Then the directory's live entries at 6.6 s are "e1@5"

  Scenario: A pause of the own process does not make other members dead
    Given an entry directory with a heartbeat of "e1@5" at 0.0 s from "1.1.1.1:1"
    When the directory ticks every 0.05 s from 0.0 s to 0.9 s
    And the directory ticks next at 11.0 s
    Then the directory's live entries at 11.1 s are "e1@5"
    And the directory has no live entries at 16.0 s

  Scenario: A member with irregular heartbeats is slow and not dead
    Given a failure detector with heartbeats of "a" at intervals of "0.5, 1.9, 0.4, 2.4, 0.5, 2.6, 0.3, 2.5, 2.6" s
    Then the detector reports "slow" after 2.9 s of silence
    And the detector reports "dead" after 8.1 s of silence

  Scenario: An address from the log is listed until it expires
    Given an entry directory with a heartbeat of "e1@5" at 0.0 s from "1.1.1.1:1"
    When the directory adds the address "2.2.2.2:2" from the log at 1.0 s
    Then the directory lists the address "2.2.2.2:2" at 30.0 s
    And the directory does not list the address "2.2.2.2:2" at 62.0 s

  Scenario: An entry that starts during a log outage accepts newer tables
    Given the deployment caribfert with 1 VMs and 2 entries
    When the log is down and the second entry is restarted
    Then the restarted entry is ready with the tables of the first
    And older tables from another entry are not put in force
