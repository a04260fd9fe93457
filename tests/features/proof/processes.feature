Feature: Real processes keep the guarantees when they are killed or paused

  Scenario: an entry process is killed under load and restarted
    Given real processes of 2 entries and 2 agents
    When a real job runs and entry 0 is killed
    Then the other entry process still answers
    And the killed entry process recovers
    And both entry processes report the real job as done

  Scenario: an agent process resumes after its lease has expired
    Given real processes of 2 entries and 2 agents
    When the agent process on the VM of a real job is paused until the job moves
    And the paused agent process resumes
    Then both entry processes report the real job as done

  Scenario: an entry process restarts while the log is down
    Given real processes of 2 entries and 2 agents
    When the log goes down and entry 0 is killed and restarted
    Then the other entry process still answers
    When the log recovers for the real processes
    Then the killed entry process recovers
    And another real job is accepted and completed
