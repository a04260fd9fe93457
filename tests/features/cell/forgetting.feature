Feature: Ended jobs are forgotten after callers were told

  Scenario: A job's keys are dropped some time after its end
    Given a leader with 1 VMs and a view with one ended and one open job
    When the leader drops what is forgotten at 10 s and at 100 s
    Then no key was dropped
    When the leader drops what is forgotten at 200 s
    Then only the keys of the ended job are dropped
    And the view no longer knows the ended job
