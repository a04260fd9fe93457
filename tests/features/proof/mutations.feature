Feature: Each check of the oracle goes red without its mechanism

  Scenario Outline: mutation: <check> needs "<mechanism>"
    Given the fault sequence "<sequence>"
    When it runs with "<fault>" broken
    Then no check of the oracle goes red
    When it also runs with "<mechanism>" broken
    Then just the check "<check>" goes red

    Examples:
      | check                 | mechanism                                   | sequence                                            | fault                              |
      | vm_overcommitted      | the agent's ledger refuses                  | more jobs than one VM holds                         | the leader counts what it claimed  |
      | job_in_two_places     | leaders wait for granted leases             | a VM with a job is cut off                          | nothing                            |
      | job_in_two_places     | leaders stop with their long lease          | an entry is cut from the log past its lease         | nothing                            |
      | job_in_two_places     | a claim needs a queued job                  | two entries claim the same job                      | one entry claims a job first       |
      | job_in_two_places     | a new agent adopts what runs                | an agent restarts beside a running job              | nothing                            |
      | attempt_started_twice | attempts are numbered anew                  | a VM with a job is cut off                          | nothing                            |
      | resumed_twice         | a grant answers one report of one term      | a start arrives after its job ran elsewhere         | nothing                            |
      | job_lost              | appends are repeated                        | the log is down when a job ends                     | nothing                            |
      | quota_breached        | the log's order decides on quotas           | a team submits more than its quota                  | nothing                            |
      | whole_own_answer      | answers are matched by request id           | requests overlap on one session                     | nothing                            |
      | false_not_run         | a lost session may have run the request     | the only agent dies while a request runs            | nothing                            |
      | ran_twice             | only what did not run is retried            | an agent dies while a booking runs                  | nothing                            |
      | ran_twice             | the first claim of a key wins               | a booking is repeated with its key at another entry | nothing                            |
      | new_work_after_leave  | agents refuse for leaving endpoints         | an endpoint leaves under load                       | nothing                            |
      | version_reverted      | agents take newer tables only               | an update of the tables arrives after a newer one   | nothing                            |
      | both_winners          | an edit names the version it was made against | two operators edit the same row                   | nothing                            |
      | lost_accepted_edit    | an edit is accepted by the log              | an entry dies with an edit while the log is down    | nothing                            |
      | planned_stop_cuts     | an entry waits for its requests             | an entry stops as planned under load                | nothing                            |
      | planned_stop_cuts     | an agent waits for its requests             | an agent stops as planned under load                | nothing                            |
      | process_lives         | an unknown state counts as suspected        | a report names an unknown endpoint state            | nothing                            |
