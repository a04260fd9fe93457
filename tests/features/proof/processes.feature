Feature: Real processes under signals keep the promises

  Scenario: an entry process is killed under load and started again
    Given real processes of 2 entries and 2 agents
    When a real job runs and entry 0 is killed
    Then the other entry process still answers
    And the killed entry process comes back
    And the real job is done, seen by both entry processes

  Scenario: an agent process is stopped past its lease and goes on
    Given real processes of 2 entries and 2 agents
    When the agent process beside a real job is stopped until the job moved
    And the stopped agent process goes on
    Then the real job is done, seen by both entry processes

  Scenario: an entry process starts again while the log is down
    Given real processes of 2 entries and 2 agents
    When the log goes down and entry 0 is killed and started again
    Then the other entry process still answers
    When the log comes back for the real processes
    Then the killed entry process comes back
    And a further real job is taken and done
