Feature: Each oracle check fails when its mechanism is disabled

  Scenario Outline: mutation: <check> fails without "<mechanism>"
    Given the fault sequence "<sequence>"
    When it runs with "<fault>" disabled
    Then no oracle check fails
    When it also runs with "<mechanism>" disabled
    Then only the oracle check "<check>" fails

    Examples:
      | check                 | mechanism                                       | sequence                                                | fault                                  |
      | vm_overcommitted      | the agent refuses tasks beyond its capacity     | more jobs than fit on one VM                            | the leader reserves claimed resources  |
      | job_in_two_places     | a leader waits until granted leases expire      | a VM that runs a job is isolated                        | nothing                                |
      | job_in_two_places     | a leader stops when its leadership expires      | an entry loses the log beyond its lease                 | nothing                                |
      | job_in_two_places     | only a queued job can be claimed                | two entries claim the same job                          | one entry is first in rank for a claim |
      | job_in_two_places     | a restarted agent adopts running tasks          | an agent restarts while a job runs on its VM            | nothing                                |
      | attempt_started_twice | each attempt gets a new number                  | a VM that runs a job is isolated                        | nothing                                |
      | resumed_twice         | a grant is matched to its report and term       | a start arrives after its job ran elsewhere             | nothing                                |
      | job_lost              | unacknowledged appends are retried              | the log is down when a job ends                         | nothing                                |
      | quota_breached        | quotas are enforced in log order                | a team submits more than its quota                      | nothing                                |
      | whole_own_answer      | responses are matched by request id             | requests overlap on one session                         | nothing                                |
      | false_not_run         | requests of a lost session may have run         | the only agent dies while a request runs                | nothing                                |
      | ran_twice             | only requests that did not run are retried      | an agent dies while a booking runs                      | nothing                                |
      | ran_twice             | the first claim of a key wins                   | a booking is retried with its key at another entry      | nothing                                |
      | new_work_after_leave  | agents refuse requests to leaving endpoints     | an endpoint leaves under load                           | nothing                                |
      | version_reverted      | agents install only newer tables                | a table update arrives after a newer one                | nothing                                |
      | both_winners          | an edit is checked against its expected version | two operators edit the same row                         | nothing                                |
      | lost_accepted_edit    | an edit is accepted after its log append        | an entry dies with a pending edit while the log is down | nothing                                |
      | planned_stop_cuts     | an entry drains its requests before it stops    | an entry shuts down under load                          | nothing                                |
      | planned_stop_cuts     | an agent drains its requests before it stops    | an agent shuts down under load                          | nothing                                |
      | process_lives         | an unknown state is treated as suspected        | a report names an unknown endpoint state                | nothing                                |
