Feature: A new build reads what an earlier build wrote

  Scenario: A snapshot keeps its attributes, classes and slots
    When a snapshot of the earlier build is restored and written again
    Then its slices are those of the earlier build

  Scenario Outline: Stored records and messages keep their form
    When each of the earlier build's <group> is decoded and encoded again
    Then the bytes are those of the earlier build, with the pinned additions

    Examples:
      | group            |
      | log_records      |
      | cell_records     |
      | cell_messages    |
      | control_messages |

  Scenario: The reason header keeps its values
    Then each reason has the name, status and verdict of the earlier build

  Scenario: JSON bodies and settings keep their keys
    Then the JSON bodies have the fields of the earlier build
    And the settings have the sections and keys of the earlier build
