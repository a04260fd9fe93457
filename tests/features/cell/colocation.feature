Feature: Best-effort work beside services

  Scenario: Only the image that interferes is throttled
    Given a pace controller with estimates "heavy" 0.30 and "light" 0.01
    When a service has a tail latency of 17 ms of 18 beside "heavy" and "light"
    Then "heavy" is throttled below 90 percent
    And "light" is not throttled

  Scenario: A service well below its target causes no throttling
    Given a pace controller with estimates "heavy" 0.30 and "light" 0.01
    When a service has a tail latency of 5 ms of 18 beside "heavy" and "light"
    Then "heavy" is not throttled
    And "light" is not throttled

  Scenario: Past the target an image without an estimate is throttled
    Given a pace controller with estimates "light" 0.001 and "light" 0.001
    When a service has a tail latency of 30 ms of 18 beside "unknown" and "light"
    Then "unknown" is throttled below 50 percent
    And "light" is not throttled

  Scenario: A new run of a throttled image starts throttled
    Given a pace controller with estimates "heavy" 0.30 and "light" 0.01
    When a service has a tail latency of 17 ms of 18 beside "heavy" and "light"
    Then a further run of "heavy" starts throttled below 50 percent

  Scenario: Paces of a former agent are reset
    Given a pace controller with estimates "light" 0.01 and "light" 0.01
    When a service has a tail latency of 5 ms of 18 beside "heavy" and "light"
    Then a pace of 100 percent was sent for each best-effort run

  Scenario: Comparing tasks of a step shows which image interferes
    Given a leader with 3 VMs and a service on each
    When for 20 s the service load varies, with interference on "vm-1" from "heavy"
    Then the estimate of "heavy" is at least 0.10 and "light" at most 0.05

  Scenario: Best-effort work is placed where it does not interfere
    Given a leader with 3 VMs and a service on each
    When for 20 s the service load varies, with interference on "vm-1" from "heavy"
    And the service is removed from "vm-2"
    And a job of 3 best-effort tasks "heavy" is submitted
    Then all its tasks are claimed on "vm-2"

  Scenario: Tasks that start together share the headroom of a service
    Given a pace controller with estimates "heavy" 0.15 and "light" 0.01
    When a service has a tail latency of 7 ms of 18
    And 6 runs of "heavy" start before the next poll
    Then their paces add up to at most 300 percent
    And the first of them starts at 100 percent

  Scenario: A restarted pace controller protects a service that was not measured
    Given a pace controller with estimates "heavy" 0.30 and "light" 0.01
    When 3 runs of "heavy" start before the first poll
    Then their paces add up to at most 150 percent

  Scenario: A negligible image recovers its pace while the service is busy
    Given a pace controller with estimates "heavy" 0.30 and "light" 0.001
    When for 8 polls a service has a tail latency of 40 ms of 18 beside "heavy" and "light"
    Then "light" is throttled below 50 percent
    When for 4 polls a service has a tail latency of 17 ms of 18 beside "heavy" and "light"
    Then "light" is not throttled

  Scenario: The next leader keeps the estimates
    Given a leader with 3 VMs and a service on each
    When for 20 s the service load varies, with interference on "vm-1" from "heavy"
    And another leader loads the stored estimates
    Then its estimate of "heavy" matches that of the former leader

  Scenario: Services are placed with others that tolerate the same neighbours
    Given a leader with 3 VMs and a service on each
    And "vm-0" and "vm-1" serve another image instead
    When another service task is submitted
    Then it is claimed on "vm-2"

  Scenario: A known image regains its pace as soon as the service is idle
    # Load: a service's load peaks for seconds; wide steps wait for each run.
    Given a pace controller with estimates "heavy" 0.30 and "light" 0.01
    When for 8 polls a service has a tail latency of 40 ms of 18 beside "heavy" and "light"
    Then "heavy" is throttled below 10 percent
    When for 1 polls a service has a tail latency of 5 ms of 18 beside "heavy" and "light"
    Then "heavy" is not throttled

  Scenario: An image without an estimate regains its pace in steps
    Given a pace controller with estimates "light" 0.01 and "light" 0.01
    When for 8 polls a service has a tail latency of 40 ms of 18 beside "unknown" and "light"
    Then "unknown" is throttled below 10 percent
    When for 1 polls a service has a tail latency of 5 ms of 18 beside "unknown" and "light"
    Then "unknown" is throttled below 40 percent

  Scenario: A slow run is not moved to a VM of a pool that its queue has left
    # Its next run would start in the queue's new pool, which has no VM.
    Given a leader with 2 VMs and a step of 2 best-effort runs of 8 s on "vm-0"
    When the queue of the step is sent to another pool
    And for 3 s its first run uses 10 percent of its processors
    Then no run of the step is stopped

  Scenario: A slow run moves to a VM where it ends sooner
    # Load: one of a step's runs is throttled beside a busy service, and the
    # whole step waits for it.
    Given a leader with 2 VMs and a step of 2 best-effort runs of 8 s on "vm-0"
    When for 3 s its first run uses 10 percent of its processors
    Then only its first run is stopped
    When the stopped run has ended
    Then its first run is claimed on "vm-1"

  Scenario: A slow run that is nearly done stays
    Given a leader with 2 VMs and a step of 2 best-effort runs of 8 s on "vm-0"
    When for 3 s its first run uses 10 percent of its processors at 98 percent
    Then no run of the step is stopped

  Scenario: A slow run stays when the other VM is as busy
    Given a leader with 2 VMs and a step of 2 best-effort runs of 8 s on "vm-0"
    And a service on "vm-1" with a tail latency of 18 ms of 18
    When for 3 s its first run uses 10 percent of its processors
    Then no run of the step is stopped

  Scenario: A run that moved stays longer before it moves again
    Given a leader with 2 VMs and a step of 2 best-effort runs of 8 s on "vm-0"
    When for 3 s its first run uses 10 percent of its processors
    And the stopped run has ended
    And for 3 s its first run uses 10 percent of its processors
    Then no run of the step is stopped

  Scenario: Best-effort work takes idle VMs before room beside services
    # Load: wide steps arrive while a few VMs serve and others stand idle.
    Given a leader with 2 VMs and a service on "vm-0" only
    When a step of 4 best-effort tasks of 1 processor is submitted
    Then all tasks of the step are claimed on "vm-1"

  Scenario: The tail is measured twice as often beside best-effort work
    # Load: a service's load rises past what its neighbours leave in a second.
    Given an agent whose worker has not answered 0 polls
    When the worker lists a service
    Then the next poll waits at most 500 ms
    When the worker lists a service and best-effort work
    Then the next poll waits at most 250 ms

  Scenario: An uncertain estimate does not throttle work that does no harm
    # Load: new images of wide steps beside a service that is half idle.
    Given a pace controller with an estimate "heavy" of 0.20 with deviation 0.20
    When a service has a tail latency of 7 ms of 18 beside 2 runs of "heavy"
    Then no run of "heavy" is throttled
