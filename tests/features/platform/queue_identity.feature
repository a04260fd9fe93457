Feature: A job belongs to its queue whatever a config calls the queue

  # LOST and UNASKED: once a route had another name, all entries answered 410
  # for the jobs that it had accepted, and they could not be cancelled.

  Scenario Outline: A queue that is renamed or moved keeps its jobs
    Given a platform with 2 entries and 2 VMs
    When a caller submits a job that runs until it is cancelled
    Then the response status is 200
    When the operator has the queue at "<prefix>" as "<name>"
    And <change>
    Then the job is shown at "<prefix>" at <entries>
    And a copy of the job at "<prefix>" gets 200
    When a caller cancels the job at "<prefix>"
    Then the response status is 200
    And the job's task is stopped within 4 s

    Examples:
      | prefix  | name | change               | entries             |
      | /q/     | p    | nothing else happens | each entry          |
      | /q/     | p    | the leader is killed | the remaining entry |
      | /moved/ | q    | nothing else happens | each entry          |
      | /moved/ | q    | the leader is killed | the remaining entry |

  Scenario: A queue that is renamed and then moved keeps its jobs
    Given a platform with 2 entries and 2 VMs
    When a caller submits a job that runs until it is cancelled
    And the operator has the queue at "/q/" as "p"
    And the operator has the queue at "/moved/" as "p"
    Then the job is shown at "/moved/" at each entry

  Scenario: A job that has ended stays known through a rename and a move
    Given a platform with 2 entries and 2 VMs
    When a caller submits a job of 1 steps with 1 tasks each
    Then the job is "completed" within 8 s at each entry
    When the operator has the queue at "/q/" as "p"
    And the operator has the queue at "/moved/" as "p"
    Then the job is shown at "/moved/" at each entry

  Scenario: A renamed queue counts its waiting jobs
    Given a platform with 2 entries and 2 VMs of the pool "other"
    When a caller submits a job of 1 steps with 1 tasks each
    And the operator has the queue at "/q/" as "p"
    Then each entry counts 1 waiting job at "/q/"

  Scenario: An entry that can't read the store asks its peer for a renamed queue
    Given a platform of 2 entries, of which one can't read the store
    When a caller submits a job to the other
    And the operator has the queue at "/q/" as "p"
    Then the blind entry answers GET with 200 within 1.5 s
    And the blind entry answers DELETE with 200 within 2.0 s

  Scenario Outline: Callers of another queue can't reach a job
    Given a platform with 2 entries and 2 VMs
    When a caller submits a job that runs until it is cancelled
    And the operator adds a queue at "/r/" as "r", and the first is "<name>"
    Then GET at "/r/" is answered with 410 by each entry
    And DELETE at "/r/" is answered with 410 by each entry
    And POST at "/r/" is answered with 409 by each entry
    And each entry counts 0 waiting job at "/r/"
    And the job is "running" within 2 s at each entry

    Examples:
      | name |
      | q    |
      | p    |

  Scenario: A queue that takes the name of another does not take its jobs
    Given a platform with 2 entries and 2 VMs
    When a caller submits a job that runs until it is cancelled
    And the operator adds a queue at "/r/" as "q", and the first is "p"
    Then GET at "/r/" is answered with 410 by each entry
    And DELETE at "/r/" is answered with 410 by each entry
    And the job is "running" within 2 s at each entry
