Feature: One odd entry among those of the workers harms nothing

  A check-in or a record may come from another writer. It names no worker to
  use, and the others hold. A check-in for another service was taken for the
  worker's: its tasks started elsewhere while their first runs went on.

  Scenario Outline: Tasks don't run twice after a check-in <kind>
    Given a platform with 1 entries and 2 VMs
    And tasks that take 3 s
    When a caller submits a job of 1 steps with 4 tasks each
    And each agent gets check-ins <kind>
    Then the job is "completed" within 9 s at each entry
    And each of its 4 tasks was started once, the first step first
    And each agent still follows its own worker

    Examples:
      | kind                                     |
      | for a service that no config names       |
      | of another id at the worker's address    |
      | of another id at the store's address     |
      | that move the worker to another address  |
      | that move the worker to another service  |
      | of a later start of the worker           |
      | of an earlier start of the worker        |
      | of a later start in another service      |
      | with a far higher Seq                    |
      | with port 70000                          |
      | with an address that can't be read       |
      | nested deeply                            |

  Scenario Outline: An agent that restarts finds its worker beside check-ins <kind>
    Given a platform with 1 entries and 2 VMs
    When each agent gets check-ins <kind>
    And each agent is restarted
    And a caller submits a job of 1 steps with 4 tasks each
    Then the job is "completed" within 9 s at each entry
    And each of its 4 tasks was started once, the first step first
    And each agent still follows its own worker

    Examples:
      | kind                                     |
      | for a service that no config names       |
      | of another id at the worker's address    |
      | of another id at the store's address     |
      | with an address that can't be read       |
      | of a later start of the worker           |
      | of an earlier start of the worker        |
      | of a later start in another service      |

  Scenario Outline: A worker that leaves is noticed beside check-ins <kind>
    # Check-ins with a higher sequence number hid those of the worker.
    Given a platform with 1 entries and 2 VMs
    When a caller submits a job of 1 steps with 4 tasks each
    And each agent gets check-ins <kind>
    And each worker announces that it leaves
    Then each agent knows within 3 s that its worker leaves

    Examples:
      | kind                                     |
      | with a far higher Seq                    |
      | with a clock that is far ahead           |
      | of a later start of the worker           |

  Scenario: VMs stay in use after late notices that their workers end
    # Each VM was closed until its worker's next start.
    Given a platform with 1 entries and 2 VMs
    When each agent gets a notice that its worker ends
    And a caller submits a job of 1 steps with 4 tasks each
    Then the job is "completed" within 9 s at each entry
    And each of its 4 tasks was started once, the first step first

  Scenario: A worker that restarts under a new id is followed
    Given a platform with 1 entries and 2 VMs
    When each worker restarts under a new id
    And a caller submits a job of 1 steps with 4 tasks each
    Then the job is "completed" within 9 s at each entry
    And each agent still follows its own worker

  Scenario: Entries serve and start anew beside records nested deeply
    # Each entry that read one of them ended, and ended again.
    Given a platform with 1 entries and 1 VMs
    When another writer appends records nested deeply
    And the entry is replaced by a new one
    And a caller submits a job of 1 steps with 4 tasks each
    Then the job is "completed" within 9 s at each entry
    And no process has failed
