Feature: Settings are checked whole before anything starts

  Scenario: A settings file with five faults reports five
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
    And a fault says "line 2: [process] name"
    And a fault says "line 5: [process] colour is unknown"
    And a fault says "line 8: [listen] operator_address"
    And a fault says "line 12: [log] timeout_s"
    And a fault says "line 15: [extra] is unknown"

  Scenario: The examples of both deployments are fine
    When all files of the examples are checked
    Then no fault is reported
