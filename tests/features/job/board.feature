Feature: The board blames who is at fault

  Background:
    Given a board on which entry "a@1" leads 5 VMs

  Scenario: Victims of a VM that fails everything keep their attempts
    When jobs "j1 j2 j3 j4" fail on "vm-0"
    Then job "j1" counts 0 failures of its own
    And job "j4" counts 0 failures of its own

  Scenario: A job that fails everywhere is given up with its VMs
    When job "bad" fails on "vm-0 vm-1 vm-2 vm-3"
    Then job "bad" is "failed" and its last step names "vm-0, vm-1, vm-2, vm-3"

  Scenario: A job that fails on one VM only is given up in the end
    When job "bad" fails 16 times on "vm-0"
    Then job "bad" is "failed" and its last step names "16 times"

  Scenario: The VMs of an entry that left are freed soon
    When job "j1" runs on "vm-0" and entry "a@1" leaves
    Then the lapse of "a@1" is refused after 9 s and accepted after 11 s
    And job "j1" is "queued" and its last step names "released"

  Scenario: An entry that left does not renew
    When job "j1" runs on "vm-0" and entry "a@1" leaves
    Then the renewal of "a@1" is refused
