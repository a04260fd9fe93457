"""Simulation of a whole cell under random disruptions, by seed."""

from __future__ import annotations

import random

from cell_world.agent_model import AgentModel
from cell_world.entry_model import EntryModel
from cell_world.oracle import Oracle
from cell_world.store_model import StoreModel
from cell_world.worker_model import WorkerModel
from yuccapoint.cell import cell_records
from yuccapoint.cell.cell_records import Cancellation
from yuccapoint.cell.cell_records import Member
from yuccapoint.cell.occurrence_state import Outcome
from yuccapoint.cell.queue_rules import QueueRules
from yuccapoint.cell.step_spec import StepSpec
from yuccapoint.cell.submission import Submission
from yuccapoint.job.size import Size

STEP_S = 0.02
# More long-running jobs would leave no room for the other jobs.
MAX_LONG_RUNNING_JOBS = 4
DISRUPTIONS = (
    "agent_kill",
    "agent_freeze",
    "entry_kill",
    "entry_freeze",
    "entry_cut",
    "link_cut",
    "store_down",
    "worker_crash",
    "late_orders",
    "drain",
    "power_off_all",
)


class World:
    """Entries, agents and workers on a common virtual clock.

    Parameters
    ----------
    seed : int
        Seed of all random decisions.
    vms, entries : int
        Number of each.
    """

    def __init__(self, seed: int, vms: int = 4, entries: int = 3) -> None:
        self.rng = random.Random(seed)
        self.now_s = 100.0
        self.store = StoreModel()
        self.oracle = Oracle()
        self.workers = [
            WorkerModel(f"vm-{n}", self.oracle, self.rng, self.now_s)
            for n in range(vms)
        ]
        self.oracle.workers = self.workers
        self.agents = {
            worker.vm: AgentModel(worker, self.rng, self.now_s)
            for worker in self.workers
        }
        self.entries = [
            EntryModel(f"e-{n}", self.store, n / entries)
            for n in range(entries)
        ]
        self.cut_links: set[tuple[str, str]] = set()
        self.loss = 0.0
        self._messages: list[tuple[float, str, str, object]] = []
        self._events: list[tuple[float, object]] = []
        self._jobs = 0
        self._long_running_jobs = 0
        self._register()

    def _register(self) -> None:
        for vm in self.agents:
            member = Member(vm, vm, 1)
            key = cell_records.MEMBER + vm
            self.store.append([(key, cell_records.encode(member))])

    def run(self, seconds: float, disruptions: tuple[str, ...] = ()) -> None:
        """Advance the time with random jobs and disruptions."""
        until_s = self.now_s + seconds
        while self.now_s < until_s:
            self.step()
            if disruptions and self.rng.random() < STEP_S * 1.5:
                self.submit()
            if disruptions and self.rng.random() < STEP_S * 0.1:
                self.cancel_one()
            if disruptions and self.rng.random() < STEP_S * 0.35:
                self.disrupt(self.rng.choice(disruptions))

    def step(self) -> None:
        """Advance the time by one tick."""
        self.now_s += STEP_S
        now_s = self.now_s
        for event in list(self._events):
            if event[0] <= now_s:
                self._events.remove(event)
                event[1]()
        for message in list(self._messages):
            if message[0] <= now_s:
                self._messages.remove(message)
                self._deliver(*message[1:])
        for worker in self.workers:
            worker.step(now_s)
        for vm, agent in self.agents.items():
            report = agent.step(now_s)
            if report is not None:
                self._send(vm, agent.vm_agent.leader_address, report)
        for entry in self.entries:
            for vm, orders in entry.step(now_s):
                self._send(entry.name, vm, orders)

    def _send(self, sender: str, receiver: str, message: object) -> None:
        if self.rng.random() < self.loss:
            return
        at_s = self.now_s + self.rng.uniform(0.002, 0.03)
        self._messages.append((at_s, sender, receiver, message))

    def _deliver(self, sender: str, receiver: str, message) -> None:
        if (sender, receiver) in self.cut_links:
            return
        agent = self.agents.get(receiver)
        if agent is not None:
            if self.now_s >= agent.frozen_until_s:
                agent.vm_agent.on_orders(message, self.now_s)
            return
        for entry in self.entries:
            if entry.name == receiver and entry.alive:
                entry.on_report(message, self.now_s)

    def submit(self, **changes) -> str | None:
        """Submit a random job at a random entry."""
        self._jobs += 1
        job_id = f"{self._jobs:016x}"
        long_running = (
            self.rng.random() < 0.06
            and self._long_running_jobs < MAX_LONG_RUNNING_JOBS
        )
        self._long_running_jobs += long_running
        steps = []
        for number in range(1 if long_running else self.rng.randint(1, 3)):
            depends_on = (number - 1,) if number else ()
            label = "r1" if self.rng.random() < 0.05 else ""
            steps.append(
                StepSpec(
                    tasks=self.rng.randint(1, 4),
                    size=Size(
                        300 if long_running else self.rng.choice((300, 900)),
                        2**20,
                        0,
                    ),
                    estimate_ms=1_500,
                    depends_on=depends_on,
                    long_running=long_running,
                    label=label,
                    max_per_vm=0 if label else self.rng.choice((0, 0, 2)),
                )
            )
        poison = self.rng.random() < 0.05 and not long_running
        job = Submission(
            job_id=job_id,
            queue=QueueRules("route", "pool", max_attempts=3),
            payload="poison" if poison else f"payload {job_id}",
            steps=changes.get("steps", tuple(steps)),
        )
        entry = self.rng.choice(self.entries)
        self.oracle.jobs[job_id] = job
        if not entry.append(cell_records.SUBMISSION + job_id, job):
            del self.oracle.jobs[job_id]
            return None
        return job_id

    def cancel_one(self) -> None:
        """Cancel a random job."""
        alive = list(self.oracle.jobs)
        if not alive:
            return
        job_id = self.rng.choice(alive)
        record = Cancellation(job_id, 0)
        entry = self.rng.choice(self.entries)
        if entry.append(cell_records.CANCELLATION + job_id, record):
            self.oracle.cancelled_at_s.setdefault(job_id, self.now_s)

    def after(self, seconds: float, act) -> None:
        """Schedule a call."""
        self._events.append((self.now_s + seconds, act))

    def disrupt(self, kind: str) -> None:
        """Begin one disruption, which ends by itself."""
        getattr(self, f"_{kind}")()

    def _agent_kill(self) -> None:
        agent = self.rng.choice([*self.agents.values()])
        agent.frozen_until_s = self.now_s + self.rng.uniform(0.3, 8.0)
        agent.restart(agent.frozen_until_s)

    def _agent_freeze(self) -> None:
        agent = self.rng.choice([*self.agents.values()])
        agent.frozen_until_s = self.now_s + self.rng.uniform(0.5, 9.0)

    def _entry_kill(self) -> None:
        entry = self.rng.choice(self.entries)
        entry.alive = False
        self.after(self.rng.uniform(0.3, 6.0), entry.restart)

    def _entry_freeze(self) -> None:
        entry = self.rng.choice(self.entries)
        entry.frozen_until_s = self.now_s + self.rng.uniform(0.5, 9.0)

    def _entry_cut(self) -> None:
        entry = self.rng.choice(self.entries)
        entry.cut = True
        self.after(
            self.rng.uniform(1.0, 9.0), lambda: setattr(entry, "cut", False)
        )

    def _link_cut(self) -> None:
        entry = self.rng.choice(self.entries)
        vm = self.rng.choice([*self.agents])
        links = [(entry.name, vm), (vm, entry.name)]
        if self.rng.random() < 0.5:
            links.pop()
        self.cut_links.update(links)
        self.after(
            self.rng.uniform(1.0, 9.0),
            lambda: self.cut_links.difference_update(links),
        )

    def _store_down(self) -> None:
        self.store.down = True
        self.after(
            self.rng.uniform(0.5, 9.0),
            lambda: setattr(self.store, "down", False),
        )

    def _worker_crash(self) -> None:
        worker = self.rng.choice(self.workers)
        worker.crash()
        self.after(
            self.rng.uniform(0.2, 8.0),
            lambda: worker.begin_instance(self.now_s),
        )

    def _late_orders(self) -> None:
        for agent in self.agents.values():
            agent.late_share = 0.3
        self.after(self.rng.uniform(1.0, 6.0), self._no_late_orders)

    def _no_late_orders(self) -> None:
        for agent in self.agents.values():
            agent.late_share = 0.0

    def _drain(self) -> None:
        worker = self.rng.choice(self.workers)
        worker.draining = True
        self.after(3.0, worker.crash)
        self.after(3.5, lambda: worker.begin_instance(self.now_s))

    def _power_off_all(self) -> None:
        for entry in self.entries:
            entry.alive = False
            self.after(self.rng.uniform(0.5, 2.0), entry.restart)
        back_s = self.now_s + self.rng.uniform(0.5, 2.0)
        for agent in self.agents.values():
            agent.frozen_until_s = back_s
            agent.restart(back_s)
        if self.rng.random() < 0.5:
            for worker in self.workers:
                worker.crash()
                self.after(1.0, lambda w=worker: w.begin_instance(self.now_s))

    def unfinished(self) -> list[str]:
        """List jobs that should have ended and idle long-running tasks."""
        left = []
        view = self.entries[0].view
        for job_id, job in self.oracle.jobs.items():
            seen = view.find(job_id)
            if seen is None:
                left.append(f"{job_id} is unknown")
                continue
            if seen.outcome is not Outcome.OPEN:
                continue
            if not job.steps[0].long_running:
                left.append(f"{job_id} is {seen.outcome.value or 'open'}")
                continue
            for index in range(job.steps[0].tasks):
                task_id = f"{job_id}.0.0.{index}"
                if not any(task_id in w.running for w in self.workers):
                    left.append(f"{task_id} is not running")
        return left
