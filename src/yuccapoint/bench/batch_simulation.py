"""Simulation of a small cell: real decision logic, simulated I/O."""

from __future__ import annotations

import heapq
import random
from typing import TYPE_CHECKING

from yuccapoint.bench.batch_oracle import BatchOracle
from yuccapoint.bench.batch_workload import capacity_of
from yuccapoint.bench.batch_workload import make_pool
from yuccapoint.bench.cell_entry import CellEntry
from yuccapoint.bench.cell_vm import CellVm
from yuccapoint.job.records import PoolEdited
from yuccapoint_standins.log_store import LogStore

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccapoint.job.job import Job

START_WALL_CLOCK_MS = 1_800_000_000_000
MIN_MESSAGE_DELAY_S = 0.001
MAX_MESSAGE_DELAY_S = 0.012


class BatchSimulation:
    """Discrete-event simulation of entries, VMs and a log.

    Parameters
    ----------
    deployment : str
        Name of the deployment, which determines the VMs' capacity.
    seed : int
        Seed of all random choices.
    vms, entries : int
        Number of VMs and entries.
    placement : str
        Name of the pool's placement policy.
    quotas : dict of str to int
        Quota by team, in millicores.
    tick_s : float
        Interval between the scheduling passes of an entry, in seconds.

    Attributes
    ----------
    now_s : float
        True time; each process reads its own, possibly drifting clock.
    log_down : bool
        Whether the log refuses all calls.
    lost_answers, lost_messages : float
        Shares of log responses and of messages that are lost.
    """

    def __init__(
        self,
        deployment: str,
        seed: int,
        *,
        vms: int = 11,
        entries: int = 3,
        placement: str = "spread",
        quotas: dict[str, int] | None = None,
        tick_s: float = 0.1,
    ) -> None:
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.tick_s = tick_s
        self.log = LogStore(1 << 30)
        self.log_down = False
        self.lost_answers = 0.0
        self.lost_messages = 0.0
        self.appends = 0
        self.append_bytes = 0
        self.pool = make_pool(placement, quotas)
        self.oracle = BatchOracle(self)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_number = 0
        self.entry_count = entries
        self.entries = [
            CellEntry(self, f"entry-{number}") for number in range(entries)
        ]
        self.vms = [
            CellVm(self, f"vm-{number}", capacity_of(deployment, number))
            for number in range(vms)
        ]
        for entry in self.entries:
            entry.start()
        edit = PoolEdited(self.pool.name, 0, "edit-1", "bench", self.pool)
        self.entries[0].add(edit)
        for vm in self.vms:
            vm.start()

    @property
    def now_ms(self) -> int:
        """The log's wall clock."""
        return START_WALL_CLOCK_MS + int(self.now_s * 1000)

    def schedule(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Schedule a callback after a delay."""
        self._event_number += 1
        due_s = self.now_s + delay_s
        heapq.heappush(self._events, (due_s, self._event_number, callback))

    def deliver(self, callback: Callable[[], None]) -> None:
        """Deliver a message after a random delay, unless it is lost."""
        if self.lost_messages and self.rng.random() < self.lost_messages:
            return
        delay_s = self.rng.uniform(MIN_MESSAGE_DELAY_S, MAX_MESSAGE_DELAY_S)
        self.schedule(delay_s, callback)

    def run(self, until_s: float) -> None:
        """Process all events until a point in time."""
        while self._events and self._events[0][0] <= until_s:
            due_s, _, callback = heapq.heappop(self._events)
            self.now_s = due_s
            callback()
        self.now_s = until_s

    def run_until(
        self,
        condition: Callable[[], bool],
        until_s: float,
        step_s: float = 1.0,
    ) -> bool:
        """Run until a condition holds; return whether it did in time."""
        while not condition():
            if self.now_s >= until_s:
                return False
            self.run(self.now_s + step_s)
        return True

    def find_vm(self, name: str) -> CellVm:
        """Return a VM by name."""
        return self.vms[int(name.rpartition("-")[2])]

    def submit(self, job: Job) -> None:
        """Submit a job to a random running entry."""
        running = [entry for entry in self.entries if entry.up]
        self.rng.choice(running).submit(job)

    def append(self, data: bytes) -> None:
        """Append to the log and count the append."""
        self.appends += 1
        self.append_bytes += len(data)
        self.log.append(data, self.now_ms)
