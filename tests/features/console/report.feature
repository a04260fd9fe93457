Feature: Report page of a run

  Scenario: A report page is drawn from logs and bench results
    Given report files with one bench result and 30 log lines
    When the report page is drawn
    Then the report page shows 1 benches and 30 log lines

  Scenario: A file without data of a run is refused
    Given a report file without data of a run
    When the report page is drawn
    Then the report is refused with "holds no JSON line of a run"
