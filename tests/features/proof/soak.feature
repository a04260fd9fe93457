Feature: Real processes keep the guarantees under random faults

  Scenario Outline: a short seeded soak run
    When the soak runs seed <seed> for 12 s
    Then no guarantee is violated and tasks were started

    Examples:
      | seed |
      | 1    |
      | 30   |

  Scenario: No VM stays out of use when control connections fall silent
    When the soak runs seed 2 for 12 s with the faults "control_silent"
    Then no guarantee is violated and tasks were started

  Scenario: Jobs run on beside long-running tasks that fail at once
    When the soak runs seed 1 for 12 s with the faults "worker_crash"
    Then no guarantee is violated and tasks were started

  Scenario: Planned stops of entries lose no request on a kept connection
    When the soak runs seed 1 for 6 s with the faults "planned_stops and reload"
    Then no guarantee is violated and tasks were started

  Scenario Outline: A proxy silences open connections and serves new ones
    Given a proxy before a server that answers each line
    When a connection from 127.0.0.9 is silenced for its <way>
    Then a line on it <request> the server and gets no answer
    And closing it <close> the server's side
    And a new connection gets an answer

    Examples:
      | way                    | request     | close     |
      | requests               | doesn't get to | leaves open |
      | responses              | gets to     | closes    |
      | requests and responses | doesn't get to | leaves open |

  Scenario Outline: the soak oracle detects a violation
    Given a soak job with two steps of one task each that was <submission>
    When workers and callers see "<events>"
    Then the soak oracle reports a violation of "<rule>"

    Examples:
      | submission | events                                        | rule    |
      | accepted   | start 9.0 at a                                | UNASKED |
      | accepted   | start 0.0 at a with another payload           | UNASKED |
      | accepted   | start 0.0 at a, start 0.0 at b                | TWICE   |
      | accepted   | start 0.0 at a, done 0.0 at a, start 0.0 at b | TWICE   |
      | accepted   | start 1.0 at a                                | ORDER   |
      | refused    | start 0.0 at a                                | REFUSED |
      | accepted   | reported completed                            | MIXED   |
      | accepted   | reported cancelled                            | LOST    |
      | accepted   | reported unknown                              | LOST    |
      | accepted   | start 0.0 at a, end 0.0 at a, start 0.0 at b, seen 1 at a | TWICE |
      | accepted   | start 0.0 at a, end 0.0 at a, start 0.0 at b, seen 9 at a | TWICE |
      | accepted   | counted 0 at entry                            | MIXED   |
      | accepted   | unreadable 500 at entry                       | MIXED   |
      | accepted   | closed 0.21 at entry                          | LOST    |

  Scenario Outline: the soak oracle allows what the rules allow
    Given a soak job with two steps of one task each that was accepted
    When workers and callers see "<events>"
    Then the soak oracle reports no violation

    Examples:
      | events                                                                  |
      | start 0.0 at a, end 0.0 at a, lapse 0 at a, start 0.0 at b, seen 1 at a |
      | start 0.0 at a, end 0.0 at a, crash 0 at a, start 0.0 at b, end 0.0 at b, seen 1 at b |
      | start 0.0 at a, end 0.0 at a, lapse 0 at a, seen 1 at a, start 0.0 at b |
      | start 0.0 at a, counted 0 at entry                                      |
      | counted 1 at entry                                                      |
      | closed 0.2 at entry                                                     |

  Scenario Outline: the soak reports a long-running task that waits
    Given a soak job of one long-running task and two workers with room
    When a calm soak goes on as "<events>"
    Then the soak oracle reports a violation of "LOST"

    Examples:
      | events                                               |
      | accepted, 3.1 s                                      |
      | accepted, start, 20 s, failed, 9.1 s                 |
      | accepted, start, 2 s, failed, 1 s, start, failed, 9.1 s |
      | accepted, start, failed, disturbed, 9.1 s            |
      | accepted, start, failed, 20 s, disturbed, 7.1 s      |
      | accepted, one worker down, 3.1 s                     |
      | full, accepted, 20 s, room, 3.2 s                    |
      | accepted, start, reported failed                     |

  Scenario Outline: the soak allows a long-running task to wait
    Given a soak job of one long-running task and two workers with room
    When a calm soak goes on as "<events>"
    Then the soak oracle reports no violation

    Examples:
      | events                                        |
      | 20 s                                          |
      | accepted, 2.8 s                               |
      | accepted, start, 20 s                         |
      | accepted, start, failed, 8.8 s                |
      | accepted, start, failed, 8.8 s, start, 20 s   |
      | accepted, 2.8 s, disturbed, 6.8 s             |
      | accepted, start, failed, 8.8 s, held up, 6.8 s |
      | accepted, cancelled, 20 s                     |
      | accepted, both workers down, 20 s             |
      | full, accepted, 20 s                          |
      | full, accepted, 20 s, room, 2.8 s             |
      | full but for one, accepted, 20 s              |

  Scenario: The soak reports long-running tasks that no entry starts again
    Given real entries and agents behind proxies
    And a long-running job whose tasks fail at once was accepted
    When all entries are paused for 12 s unknown to the check
    Then the soak oracle reports a violation of "LOST"

  Scenario: A long-running task of the soak fails, and is not done
    Given a worker of the soak that runs a task that fails at once
    When the task ends
    Then its end is listed as failed

  Scenario: A restarted worker of the soak knows nothing of its former instance
    Given a worker of the soak that ended a run and runs another
    When it restarts without having crashed
    Then it lists no run and no end, and counts its ends from 1

  Scenario: A worker of the soak executes a late call in its next instance
    Given a worker of the soak that gives no response to calls
    When it is told that end 9 was seen, and restarts and ends a run
    Then the late call makes it forget the end, and the oracle knows it
