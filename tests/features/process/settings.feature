Feature: Settings are validated as a whole before anything starts

  Scenario: All five faults of a settings file are reported
    Given the entry settings
      """
      [process]
      name = entry 1
      data_centre = a
      region = b
      colour = red
      [listen]
      caller_address = 127.0.0.1:7000
      operator_address = 127.0.0.1:99999
      control_address = 127.0.0.1:7002
      [log]
      address = 127.0.0.1:7100
      timeout_s = -1
      [entries]
      seeds = 127.0.0.1:7002
      [extra]
      """
    When the settings are checked
    Then 5 faults are reported
    And a fault contains "line 2: [process] name"
    And a fault contains "line 5: [process] colour is unknown"
    And a fault contains "line 8: [listen] operator_address"
    And a fault contains "line 12: [log] timeout_s"
    And a fault contains "line 15: [extra] is unknown"

  Scenario: The examples of both deployments are valid
    When all files of the examples are checked
    Then no fault is reported
