Feature: Lookups of jobs at an entry whose reads of the store fail

  # LOST: an entry that had read nothing for half a minute answered 503 to each
  # caller whose job was accepted elsewhere, though its peers knew the job.

  Scenario: A job that another entry accepted is known
    Given a platform of 2 entries, of which one can't read the store
    When a caller submits a job to the other
    Then the blind entry answers GET with 200 within 1.5 s

  Scenario: A job that another entry accepted can be cancelled
    Given a platform of 2 entries, of which one can't read the store
    When a caller submits a job to the other
    Then the blind entry answers DELETE with 200 within 2.0 s
    And the other entry shows the job as cancelled within 3 s

  Scenario: A job that nobody submitted is not known
    Given a platform of 2 entries, of which one can't read the store
    Then the blind entry answers GET with 410 within 1.5 s

  Scenario: Nobody can tell
    Given a platform of 2 entries, of which one can't read the store
    When the other entry is killed
    Then the blind entry answers GET with 503 within 3.0 s
    And the response has a Retry-After
