Feature: Failure attribution and entry leases on the job board

  Background:
    Given a board on which entry "a@1" leads 5 VMs

  Scenario: Failures on a VM that fails every job do not count as the jobs' own
    When jobs "j1 j2 j3 j4" fail on "vm-0"
    Then job "j1" has 0 own failures
    And job "j4" has 0 own failures

  Scenario: A job that fails on several VMs is failed with their names
    When job "bad" fails on "vm-0 vm-1 vm-2 vm-3"
    Then job "bad" is "failed" and its last step contains "vm-0, vm-1, vm-2, vm-3"

  Scenario: A job that fails on a single VM is failed at the failure limit
    When job "bad" fails 16 times on "vm-0"
    Then job "bad" is "failed" and its last step contains "16 times"

  Scenario: The VMs of an entry that left are released after a short wait
    When job "j1" runs on "vm-0" and entry "a@1" leaves
    Then the lapse of "a@1" is refused after 9 s and accepted after 11 s
    And job "j1" is "queued" and its last step contains "released"

  Scenario: An entry that left cannot renew its lease
    When job "j1" runs on "vm-0" and entry "a@1" leaves
    Then the renewal of "a@1" is refused
