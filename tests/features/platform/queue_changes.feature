Feature: A config that changes a queue while its jobs wait

  # LOST: jobs that waited stayed with the pool of the config at their
  # acceptance, while the pool that the queue was sent to stood idle.

  Scenario Outline: Waiting jobs follow their queue to another pool
    Given a platform with 2 entries and 2 VMs of the pool "other"
    When a caller submits a job of 2 steps with 3 tasks each
    Then the response status is 200
    When <before>
    And the operator sends the queue to the pool "other"
    And <after>
    Then the job is "completed" within 15 s at <shown>
    And each of its 6 tasks was started once, the first step first

    Examples:
      | before               | after                | shown               |
      | nothing else happens | nothing else happens | each entry          |
      | the leader is killed | nothing else happens | the remaining entry |
      | nothing else happens | the leader is killed | the remaining entry |
