Feature: Connections to workers that fall silent without being closed

  Scenario: A worker's lease is renewed although its connections are silent
    # Each poll waited for a further silent connection until the lease ended.
    Given a platform of one entry and one VM with 8 running tasks
    When all open connections to the worker fall silent
    Then the worker's lease is renewed within 2 s
    And a further task is started within 2 s
