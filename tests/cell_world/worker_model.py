"""Simulated worker with a clock of its own."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from yuccapoint.cell.cell_messages import EndedRun
from yuccapoint.cell.cell_messages import RunningTask
from yuccapoint.cell.occurrence_state import WorkerInstance
from yuccapoint.cell.worker_events import CallAnswer
from yuccapoint.cell.worker_events import CallResult
from yuccapoint.cell.worker_events import CheckIn
from yuccapoint.cell.worker_events import PaceCall
from yuccapoint.cell.worker_events import StartCall
from yuccapoint.cell.worker_events import StopCall
from yuccapoint.cell.worker_events import WorkerStatus
from yuccapoint.job.size import Size

if TYPE_CHECKING:
    import random

    from cell_world.oracle import Oracle
    from yuccapoint.cell.worker_events import StatusRequest
    from yuccapoint.cell.worker_events import WorkerCall

FULL_CAPACITY = Size(4_000, 2**34, 0)
# How long a new instance counts as a disturbance; it may have been down for
# less than the interval of the checks.
NEW_INSTANCE_S = 0.2
# A capacity that has shrunk counts ContactMs and one check-in later.
SHRINK_GRACE_S = 3.0 + 1.0
# A longer lease is shortened to this; some sites have 10 s.
MAX_HOLD_MS = 6_000

# A task with this payload crashes each worker that starts it, after this time
# in seconds. The worker is back some seconds later.
DEADLY = "deadly"
DEADLY_AFTER_S = 0.01
# All runs of a job with this payload fail; those of a task that lasts within
# this time in seconds.
HOPELESS = "poison"
HOPELESS_AFTER_S = 0.5


class WorkerModel:
    """Runs tasks under a lease and answers like the platform's workers."""

    def __init__(
        self,
        vm: str,
        oracle: Oracle,
        rng: random.Random,
        now_s: float,
        max_hold_ms: int = MAX_HOLD_MS,
    ) -> None:
        self.vm = vm
        self.max_hold_ms = max_hold_ms
        self.capacity = FULL_CAPACITY
        self.guards_capacity = False
        # How long a stopped run still holds its room.
        self.stop_takes_s = 0.0
        # How long after its start an instance checks in.
        self.check_in_delay_s = 0.0
        # Former capacities, each with the time at which it ended.
        self._former: list[tuple[float, Size]] = []
        self.labels = ("a", f"r{vm[-1]}")
        self.pool = "pool"
        self.alive = False
        self.draining = False
        self.running: dict[str, tuple[int, float, str]] = {}
        self.started_at_s: dict[str, float] = {}
        self.crash_at_s = math.inf
        self.back_at_s = math.inf
        self._oracle = oracle
        self._rng = rng
        # Whether the machine's time of day is set back.
        self.clock_is_back = False
        self._born = 0
        # Whether a task has crashed the instance.
        self.crashed_by_task = False
        self._disturbed_at_s = now_s
        self._former_borns: set[int] = set()
        self.begin_instance(now_s)

    def begin_instance(self, now_s: float) -> None:
        """Start a new instance with the same id and no state."""
        self._oracle.on_crash(self, now_s)
        step = -1 if self.clock_is_back else 1
        while not self._born or self._born in self._former_borns:
            self._born += step
        self._former_borns.add(self._born)
        self._started_s = now_s
        if not self.crashed_by_task:
            self._disturbed_at_s = now_s
        self.crashed_by_task = False
        self._rate = self._rng.choice((0.98, 1.0, 1.0))
        self.alive = True
        self.draining = False
        self.crash_at_s = math.inf
        self.back_at_s = math.inf
        self.running = {}
        self._blocked: dict[str, int] = {}
        self._ends: list[EndedRun] = []
        self._number = 0
        self._fence = (0, 0)
        self._lease_ms = 0
        self._discarded_through = 0
        self._sequence = 0

    @property
    def instance(self) -> WorkerInstance:
        return WorkerInstance(self.vm, f"i-{self.vm}", self._born)

    def has_checked_in(self, now_s: float) -> bool:
        """Return whether the instance is old enough to have checked in."""
        return now_s - self._started_s >= self.check_in_delay_s

    def resize(self, capacity: Size, now_s: float) -> None:
        """Change the capacity, which the next check-in shows."""
        self._former.append((now_s, self.capacity))
        self.capacity = capacity

    def room(self, now_s: float) -> Size:
        """Return the capacity that counts, which shrinks with a delay."""
        counted = [self.capacity]
        for ended_s, capacity in self._former:
            if now_s - ended_s <= SHRINK_GRACE_S:
                counted.append(capacity)
        return Size(
            max(size.millicores for size in counted),
            max(size.memory_bytes for size in counted),
            max(size.accelerators for size in counted),
        )

    def used(self) -> Size:
        """Return the room of all runs, also of those being stopped."""
        used = Size()
        for task_id in self.running:
            used += self._oracle.spec_of(task_id).committed
        return used

    def clock_ms(self, now_s: float) -> int:
        return int((now_s - self._started_s) * self._rate * 1000)

    def check_in(self, now_s: float) -> CheckIn:
        self._sequence += 1
        return CheckIn(
            instance=self.instance,
            pool=self.pool,
            address="",
            capacity=self.capacity,
            labels=self.labels,
            draining=self.draining,
            remaining_ms=2_500 if self.draining else 0,
            clock_ms=self.clock_ms(now_s),
            sequence=self._sequence,
        )

    def call(self, call: WorkerCall, now_s: float) -> CallAnswer:
        result, reason = self._execute(call, now_s)
        return CallAnswer(result, reason, self.clock_ms(now_s))

    def _execute(
        self, call: WorkerCall, now_s: float
    ) -> tuple[CallResult, str]:
        if isinstance(call, PaceCall):
            return CallResult.DONE, ""
        token = (call.term, call.fence)
        if token < self._fence:
            return CallResult.REFUSED, "fence"
        self._fence = token
        if isinstance(call, StopCall):
            self._block(call.task_id, call.run)
            current = self.running.get(call.task_id)
            if current is not None and current[0] <= call.run:
                self._stop(call.task_id, now_s)
            return CallResult.DONE, ""
        return self._start(call, now_s)

    def _start(self, call: StartCall, now_s: float) -> tuple[CallResult, str]:
        order = call.order
        clock_ms = self.clock_ms(now_s)
        if call.lease_until_clock_ms <= clock_ms:
            return CallResult.REFUSED, "late"
        self._take_lease(call.lease_until_clock_ms, clock_ms)
        current = self.running.get(order.task_id)
        if current is not None and current[0] == order.run:
            return CallResult.DONE, ""
        if order.run <= self._blocked.get(order.task_id, 0):
            return CallResult.REFUSED, "old"
        needed = self.used() + self._oracle.spec_of(order.task_id).committed
        if self.guards_capacity and not needed.fits(self.capacity):
            return CallResult.REFUSED, "room"
        self._oracle.on_run_started(self, order.task_id, order.payload, now_s)
        how = "done"
        end_s = now_s + self._rng.uniform(0.5, 3.0)
        spec = self._oracle.spec_of(order.task_id)
        if spec.long_running:
            end_s = now_s + self._rng.uniform(5.0, 60.0)
        if order.payload == HOPELESS or self._rng.random() < 0.03:
            how = "failed"
        if order.payload == HOPELESS and spec.long_running:
            end_s = now_s + self._rng.uniform(0.0, HOPELESS_AFTER_S)
        self.running[order.task_id] = (order.run, end_s, how)
        self.started_at_s[order.task_id] = now_s
        if order.payload == DEADLY:
            self.crash_at_s = now_s + DEADLY_AFTER_S
            if self._rng.random() < 0.5:
                return CallResult.UNANSWERED, ""
        return CallResult.DONE, ""

    def _take_lease(self, until_clock_ms: int, clock_ms: int) -> None:
        """Take a lease, shortened to the maximum; it never shortens."""
        until_clock_ms = min(until_clock_ms, clock_ms + self.max_hold_ms)
        self._lease_ms = max(self._lease_ms, until_clock_ms)

    def status(
        self, request: StatusRequest, now_s: float
    ) -> WorkerStatus | None:
        token = (request.term, request.fence)
        if token < self._fence:
            return None
        self._fence = token
        clock_ms = self.clock_ms(now_s)
        if request.lease_until_clock_ms is not None:
            self._take_lease(request.lease_until_clock_ms, clock_ms)
        for end in list(self._ends):
            if end.number > request.last_seen:
                continue
            # An end from before the expiry of the lease does not count.
            if end.number > self._discarded_through:
                self._oracle.on_end_acked(end.task_id, end.how)
            self._ends.remove(end)
        running = tuple(
            RunningTask(task_id, run, "", 50, 0.0)
            for task_id, (run, _, _) in self.running.items()
        )
        return WorkerStatus(
            clock_ms=clock_ms,
            born_ms=self._born,
            running=running,
            ends=tuple(self._ends),
        )

    def step(self, now_s: float) -> None:
        """End the runs that are due, and all once the lease has expired."""
        if now_s >= self.back_at_s:
            self.begin_instance(now_s)
        if self.alive and now_s >= self.crash_at_s:
            self.crash(now_s)
            self.crashed_by_task = True
            self.back_at_s = now_s + self._rng.uniform(1.0, 4.0)
        if not self.alive:
            return
        lapsed = self.clock_ms(now_s) > self._lease_ms
        if lapsed:
            self._discarded_through = self._number
        for task_id, (_, end_s, how) in list(self.running.items()):
            if lapsed:
                self._end(task_id, "lapsed")
            elif now_s >= end_s:
                if how == "done":
                    self._oracle.done.add(task_id)
                self._end(task_id, how)

    def crash(self, now_s: float) -> None:
        self._oracle.on_crash(self, now_s)
        self.alive = False
        self.crash_at_s = math.inf
        self.running = {}

    def leave(self, now_s: float) -> None:
        """End as announced; a later instance did not announce it."""
        if not self.draining:
            self._oracle.on_crash(self, now_s)
        self.alive = False
        self.running = {}

    def fail(self, task_id: str, now_s: float) -> None:
        """Let a run end as failed now."""
        run, _, _ = self.running[task_id]
        self.running[task_id] = (run, now_s, "failed")

    def is_disturbed(self, now_s: float) -> bool:
        """Return whether the worker is away, new, or changes its capacity.

        A crash by a task that it ran is no disturbance.
        """
        if not self.alive or self.draining:
            return not self.crashed_by_task
        if self.capacity != FULL_CAPACITY:
            return True
        return now_s - self._disturbed_at_s < NEW_INSTANCE_S

    def is_sound(self, now_s: float) -> bool:
        """Return whether the worker could start a task now."""
        if not self.alive or self.draining:
            return False
        return self.clock_ms(now_s) <= self._lease_ms

    def _stop(self, task_id: str, now_s: float) -> None:
        run, end_s, how = self.running[task_id]
        if not self.stop_takes_s:
            self._end(task_id, "stopped")
        elif how != "stopped":
            end_s = min(end_s, now_s + self.stop_takes_s)
            self.running[task_id] = (run, end_s, "stopped")

    def _end(self, task_id: str, how: str) -> None:
        run, _, _ = self.running.pop(task_id)
        self._block(task_id, run)
        if how == "failed":
            self._oracle.on_run_failed(task_id)
        self._number += 1
        self._ends.append(EndedRun(self._number, task_id, run, how, ""))

    def _block(self, task_id: str, run: int) -> None:
        self._blocked[task_id] = max(run, self._blocked.get(task_id, 0))
