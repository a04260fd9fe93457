Feature: Ended jobs are dropped after their retention

  Scenario: A job's keys are dropped once its retention has passed
    Given a leader with 1 VMs and a view with one ended and one open job
    When the leader drops expired jobs at 10 s and at 100 s
    Then no key was dropped
    When the leader drops expired jobs at 200 s
    Then only the keys of the ended job are dropped
    And the view no longer holds the ended job
