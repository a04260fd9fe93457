Feature: The report page of a run

  Scenario: Logs and a bench result are drawn as an image
    Given report files with a bench line and 30 log lines
    When the report page is drawn
    Then the report page shows 1 benches and 30 log lines

  Scenario: A file without data of a run is refused in one sentence
    Given a report file with other text
    When the report page is drawn
    Then the report is refused with "holds no JSON line of a run"
