"""Simulation of a whole cell under random disruptions, by seed."""

from __future__ import annotations

import random
from typing import Any

from cell_world.agent_model import AgentModel
from cell_world.entry_model import EntryModel
from cell_world.oracle import Oracle
from cell_world.simulated_clock import SimulatedClock
from cell_world.store_model import StoreModel
from cell_world.worker_model import DEADLY
from cell_world.worker_model import HOPELESS
from cell_world.worker_model import MAX_HOLD_MS
from cell_world.worker_model import NEW_INSTANCE_S
from cell_world.worker_model import WorkerModel
from yuccapoint.cell import cell_records
from yuccapoint.cell.cell_records import Member
from yuccapoint.cell.job_gateway import GatewayResult
from yuccapoint.cell.lease_bounds import REPORT_INTERVAL_S
from yuccapoint.cell.lease_bounds import VM_LEASE_S
from yuccapoint.cell.occurrence_state import Outcome
from yuccapoint.cell.queue_rules import QueueRules
from yuccapoint.cell.step_spec import StepSpec
from yuccapoint.cell.submission import Submission
from yuccapoint.job.size import Size
from yuccapoint.version.queue_table import QueueRoute
from yuccapoint.version.queue_table import QueueTable

STEP_S = 0.02
# The entries' views are checked every this many steps.
VIEW_CHECK_STEPS = 5
# More long-running jobs would leave no room for the other jobs.
MAX_LONG_RUNNING_JOBS = 4
# The same where only such jobs are submitted: they use half of the room.
MAX_LASTING_ONLY_JOBS = 16
# Each of them crashes several of the few workers, some of which then get no
# work for as long as a call may be carried out late.
MAX_DEADLY_JOBS = 4
# Hopeless jobs that last, which are started again for good.
MAX_HOPELESS_LASTING_JOBS = 4
# Jobs that last with a label or a bound of tasks for each VM. The label fits
# one VM, which gets other tasks too.
MAX_CONSTRAINED_LASTING_JOBS = 4
# Label, tasks and tasks of a step on a VM, each with room for one task more.
CONSTRAINTS = (("r1", 1, 0), ("r1", 2, 0), ("", 2, 1), ("r1", 2, 4))
DISRUPTIONS = (
    "agent_kill",
    "agent_freeze",
    "entry_kill",
    "entry_freeze",
    "entry_cut",
    "link_cut",
    "store_down",
    "worker_crash",
    "worker_freeze",
    "late_orders",
    "drain",
    "power_off_all",
    "entry_stop",
    "entry_reload",
    "store_lost",
    "store_slow",
    "link_slow",
    "clock_step",
    "reports_cut",
    "orders_cut",
    "agents_cut",
    "entries_cut",
)
# Bounds of the durations of one-way cuts in seconds: below, about and well
# above a VM's lease.
CUT_DURATIONS_S = (
    (0.5, VM_LEASE_S - 0.5),
    (VM_LEASE_S - 0.5, VM_LEASE_S + 1.0),
    (VM_LEASE_S + 1.0, 3 * VM_LEASE_S),
)
# Usual size of a full page of the log, and the time of a narrow link for it.
FULL_PAGE_BYTES = 8_000.0
MIN_PAGE_S = 0.2
MAX_PAGE_S = 3.0
# A caller whose job got no answer submits it again, at any entry, after this
# time in seconds, up to this many times in all.
ATTEMPT_TIMEOUT_S = 2.5
# Pools of the workers in turn, if the cell has two. The one with the label
# of constrained jobs has the queue at first and at last.
POOLS = ("other", "pool")
# Mean time after which an entry reads a config, in seconds.
CONFIG_READ_S = 0.5
# The LOST rule counts from the time that all entries have for it.
CONFIG_APPLY_S = 2.5
MAX_ATTEMPTS = 4


class World:
    """Entries, agents and workers on a common virtual clock.

    Parameters
    ----------
    seed : int
        Seed of all random decisions.
    vms, entries : int
        Number of each.
    lasting_only : bool
        Whether only jobs that last are submitted, whose runs are never done.
    max_hold_ms : int
        The workers shorten longer leases to this.
    planned_is_calm : bool
        Whether workers that drain and entries that stop in order count as
        calm. The rule LOST holds for a task that lasts if "the 3 s and the
        4 s before them are calm", and doesn't define calm. The rules name a
        SIGTERM among the disturbances that take a machine out of touch, and
        workers that shut down gracefully among the disturbances that some
        rules except, so that both disturb by the milder reading. Planned work
        (a SIGTERM, a SIGHUP, a config) is told from an unplanned disturbance
        by the rule on draining, so that it's calm by the stricter reading.
        An entry_reload loses history of the store, which is no planned work.
    two_pools : bool
        Whether every other worker is of a second pool, which ``queue_moves``
        sends the queue to.
    """

    def __init__(
        self,
        seed: int,
        vms: int = 4,
        entries: int = 3,
        *,
        lasting_only: bool = False,
        max_hold_ms: int = MAX_HOLD_MS,
        planned_is_calm: bool = False,
        two_pools: bool = False,
    ) -> None:
        self.rng = random.Random(seed)
        self.clock = SimulatedClock(100.0)
        self._messages: list[tuple[float, str, str, object]] = []
        self._events: list[tuple[float, Any]] = []
        self.store = StoreModel(self.rng, self.after)
        self.oracle = Oracle()
        self.workers = [
            WorkerModel(
                f"vm-{n}", self.oracle, self.rng, self.now_s, max_hold_ms
            )
            for n in range(vms)
        ]
        self.oracle.workers = self.workers
        self.queue_table: QueueTable | None = None
        self._config_changed_at_s = 0.0
        if two_pools:
            for number, worker in enumerate(self.workers):
                worker.pool = POOLS[number % len(POOLS)]
        self.agents = {
            worker.vm: AgentModel(worker, self.rng, self.now_s)
            for worker in self.workers
        }
        with self.clock.installed():
            self.entries = [
                EntryModel(f"e-{n}", self.store, self.clock, self.rng, self)
                for n in range(entries)
            ]
        self.cut_links: set[tuple[str, str]] = set()
        self.slow_links: dict[tuple[str, str], float] = {}
        self.loss = 0.0
        self._steps = 0
        self._jobs = 0
        self._long_running_jobs = 0
        self._deadly_jobs = 0
        self._hopeless_lasting_jobs = 0
        self._constrained_lasting_jobs = 0
        self._lasting_only = lasting_only
        self._planned_is_calm = planned_is_calm
        # By worker or entry that ends as planned: from when to when it's away.
        self._planned_away_s: dict[str, tuple[float, float]] = {}
        self._register()

    @property
    def now_s(self) -> float:
        return self.clock.now_s

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
                self._submit_random()
            if disruptions and self.rng.random() < STEP_S * 0.1:
                self.cancel_one()
            if disruptions and self.rng.random() < STEP_S * 0.35:
                self.disrupt(self.rng.choice(disruptions))

    def step(self) -> None:
        """Advance the time by one tick."""
        self.clock.now_s += STEP_S
        self._steps += 1
        with self.clock.installed():
            self._step(self.now_s)

    def _step(self, now_s: float) -> None:
        for event in list(self._events):
            if event[0] <= now_s:
                self._events.remove(event)
                event[1]()
        for message in list(self._messages):
            if message[0] <= now_s:
                self._messages.remove(message)
                self._deliver(*message[1:])
        self.store.step(now_s)
        for worker in self.workers:
            worker.step(now_s)
        self.oracle.note_ends()
        for vm, agent in self.agents.items():
            report = agent.step(now_s)
            if report is None:
                continue
            leader = agent.vm_agent.leader_address
            crashes = agent.build_crash_report(now_s)
            if crashes is not None:
                self.send(vm, leader, crashes)
            self.send(vm, leader, report)
        if self._steps % VIEW_CHECK_STEPS == 0:
            if self._is_disturbed():
                self.oracle.disturbed_at_s = now_s
            self.oracle.check_lasting(now_s)
            self.oracle.check_cancelled(now_s)
        if self.queue_table is not None:
            self._read_configs(self.queue_table)
        for entry in self.entries:
            entry.step(now_s)
            for failure in entry.find_failures():
                self.oracle.record_violation("FAULT", entry.name, failure)
            if entry.alive and self._steps % VIEW_CHECK_STEPS == 0:
                self.oracle.check_view(entry.view)

    def send(self, sender: str, receiver: str, message: object) -> None:
        """Send a message; a slow link keeps the order of its messages."""
        if self.rng.random() < self.loss:
            return
        at_s = self.now_s + self.rng.uniform(0.002, 0.03)
        at_s += self.slow_links.get((sender, receiver), 0.0)
        self._messages.append((at_s, sender, receiver, message))

    def _deliver(self, sender: str, receiver: str, message) -> None:
        if (sender, receiver) in self.cut_links:
            return
        agent = self.agents.get(receiver)
        if agent is not None:
            if self.now_s >= agent.frozen_until_s:
                agent.vm_agent.on_orders(message, self.now_s)
            elif self.rng.random() < 0.5:
                # It waits in a buffer for the process to go on.
                at_s = agent.frozen_until_s + 0.001
                self._messages.append((at_s, sender, receiver, message))
            return
        for entry in self.entries:
            if entry.name == receiver:
                entry.on_message(message)

    def _submit_random(self) -> None:
        if not self._lasting_only:
            self.submit()
            return
        self._long_running_jobs += 1
        if self._long_running_jobs > MAX_LASTING_ONLY_JOBS:
            return
        step = StepSpec(
            tasks=self.rng.randint(1, 2),
            size=Size(300, 2**20, 0),
            estimate_ms=1_500,
            long_running=True,
        )
        self.submit(steps=(step,))

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
        hopeless = self.rng.random() < 0.05 and not long_running
        job = Submission(
            job_id=job_id,
            queue=QueueRules("route", "pool", max_attempts=3),
            payload=changes.get(
                "payload", HOPELESS if hopeless else f"payload {job_id}"
            ),
            steps=changes.get("steps", tuple(steps)),
        )
        self.oracle.jobs[job_id] = job
        self._submit_to_any(job, 1)
        return job_id

    def _submit_to_any(self, job: Submission, attempt: int) -> None:
        """Submit a job, and again if there is no answer."""
        answers: list[GatewayResult] = []
        entry = self.rng.choice(self.entries)
        if entry.alive:
            entry.submit(job, answers.append)

        def judge() -> None:
            result = answers[0] if answers else GatewayResult.MAY_BE_ACCEPTED
            if result is GatewayResult.ACCEPTED:
                self.oracle.accepted.add(job.job_id)
            elif result is GatewayResult.REFUSED:
                if attempt == 1:
                    self.oracle.on_job_refused(job.job_id)
            elif attempt < MAX_ATTEMPTS:
                self._submit_to_any(job, attempt + 1)

        self.after(ATTEMPT_TIMEOUT_S, judge)

    def cancel_one(self) -> None:
        """Cancel a random job."""
        alive = list(self.oracle.jobs)
        if not alive:
            return
        job = self.oracle.jobs[self.rng.choice(alive)]
        entry = self.rng.choice(self.entries)
        if entry.alive:
            self.oracle.cancels_sent.add(job.job_id)
            entry.cancel(job, lambda result: self._note_cancel(job, result))

    def _note_cancel(self, job: Submission, result: GatewayResult) -> None:
        # A job that is not known may not run later, either.
        if result in (GatewayResult.ACCEPTED, GatewayResult.UNKNOWN_JOB):
            self.oracle.cancelled_at_s.setdefault(job.job_id, self.now_s)

    def after(self, seconds: float, act: Any) -> None:
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

    def _clock_step(self) -> None:
        """Set the time of day of some VMs ahead or back for a while."""
        offset_s = self.rng.choice((-60.0, -5.0, 5.0, 60.0))
        for agent in self.agents.values():
            if self.rng.random() < 0.5:
                agent.clock_offset_s = offset_s
        self.after(self.rng.uniform(3.0, 12.0), self._correct_clocks)

    def _correct_clocks(self) -> None:
        for agent in self.agents.values():
            agent.clock_offset_s = 0.0

    def move_queue(self) -> None:
        """Send the queue to the other pool."""
        self._write_config(POOLS[0])

    def _queue_moves(self) -> None:
        """Send the queue to the other pool for a while."""
        self.move_queue()
        back_s = self.rng.uniform(1.0, 16.0)
        self.after(back_s, lambda: self._write_config(POOLS[1]))

    def _write_config(self, pool: str) -> None:
        before = 0 if self.queue_table is None else self.queue_table.version
        version = before + self.rng.randint(1, 3)
        rules = QueueRules("route", pool, max_attempts=3)
        route = QueueRoute("", "/", rules, version)
        self.queue_table = QueueTable(version, [route], 1_000_000)
        self.oracle.pool = pool
        self._config_changed_at_s = self.now_s
        self.oracle.disturbed_at_s = self.now_s

    def _read_configs(self, table: QueueTable) -> None:
        """Let entries read the newest config, each at a time of its own."""
        for entry in self.entries:
            if not entry.alive or self.now_s < entry.frozen_until_s:
                continue
            if self.rng.random() < STEP_S / CONFIG_READ_S:
                entry.process.job_gateway.install(table)

    def _entry_kill(self) -> None:
        entry = self.rng.choice(self.entries)
        entry.kill()
        self.after(self.rng.uniform(0.3, 6.0), entry.restart)

    def _entry_stop(self) -> None:
        entry = self.rng.choice(self.entries)
        if not entry.alive or entry.stopping:
            return
        entry.stop()
        stopped_s = self.rng.uniform(0.5, 3.0)
        back_s = self.now_s + stopped_s + 0.5
        self._planned_away_s[entry.name] = (self.now_s, back_s)
        self.after(stopped_s, entry.kill)
        self.after(stopped_s + 0.5, entry.restart)

    def _reads_lost(self) -> None:
        """Lose the reads of one entry, its appends are answered.

        One entry at least is spared: without any that can read nobody leads,
        and a cancelled task runs on until its lease ends.
        """
        clients = [
            entry.store_client
            for entry in self.entries
            if not entry.store_client.reads_lost
        ]
        if len(clients) < 2:
            return
        client = self.rng.choice(clients)
        client.reads_lost = True
        self.after(
            self.rng.uniform(1.0, 20.0),
            lambda: setattr(client, "reads_lost", False),
        )

    def _link_narrow(self) -> None:
        """Let the reads of one entry take as long as their size needs."""
        client = self.rng.choice(self.entries).store_client
        rate = FULL_PAGE_BYTES / self.rng.uniform(MIN_PAGE_S, MAX_PAGE_S)
        client.read_bytes_per_s = rate

        def widen() -> None:
            # A later narrowing has a rate and an end of its own.
            if client.read_bytes_per_s == rate:
                client.read_bytes_per_s = 0.0

        self.after(self.rng.uniform(1.0, 20.0), widen)

    def _entry_reload(self) -> None:
        """Delete the history that entries have not read yet."""
        self.store.muted = True
        self.after(self.rng.uniform(0.5, 1.5), self._trim)

    def _trim(self) -> None:
        self.store.trim()
        self.store.muted = False

    def _entry_freeze(self) -> None:
        entry = self.rng.choice(self.entries)
        entry.frozen_until_s = self.now_s + self.rng.uniform(0.5, 9.0)

    def _entry_cut(self) -> None:
        entry = self.rng.choice(self.entries)
        client = entry.store_client
        client.cut = self.rng.choice(("refuse", "silent", "answers"))
        self.after(
            self.rng.uniform(1.0, 9.0), lambda: setattr(client, "cut", "")
        )

    def _link_cut(self) -> None:
        entry = self.rng.choice(self.entries)
        vm = self.rng.choice([*self.agents])
        links = [(entry.name, vm), (vm, entry.name)]
        way = self.rng.random()
        if way < 0.5:
            links.pop(0 if way < 0.25 else 1)
        self._cut(links, self.rng.uniform(1.0, 9.0))

    def _cut(self, links: list[tuple[str, str]], seconds: float) -> None:
        self.cut_links.update(links)
        self.after(seconds, lambda: self.cut_links.difference_update(links))

    def _random_cut_s(self) -> float:
        return self.rng.uniform(*self.rng.choice(CUT_DURATIONS_S))

    def _random_agent_links(self) -> list[tuple[str, str]]:
        """Return the links from one, some or all VMs to one or all entries."""
        vms = [*self.agents]
        count = self.rng.choice((1, self.rng.randint(1, len(vms)), len(vms)))
        vms = self.rng.sample(vms, count)
        entries = [entry.name for entry in self.entries]
        if self.rng.random() < 0.5:
            entries = [self.rng.choice(entries)]
        return [(vm, entry) for vm in vms for entry in entries]

    def _reports_cut(self) -> None:
        self._cut(self._random_agent_links(), self._random_cut_s())

    def _orders_cut(self) -> None:
        links = [(entry, vm) for vm, entry in self._random_agent_links()]
        self._cut(links, self._random_cut_s())

    def _agents_cut(self) -> None:
        """Cut reports and orders of the same VMs, each for its own time."""
        reports = self._random_agent_links()
        self._cut(reports, self._random_cut_s())
        orders = [(entry, vm) for vm, entry in reports]
        self._cut(orders, self._random_cut_s())

    def _entries_cut(self) -> None:
        """Cut the relays between two entries, one way or both."""
        first, second = self.rng.sample(
            [entry.name for entry in self.entries], 2
        )
        links = [(first, second)]
        if self.rng.random() < 0.5:
            links.append((second, first))
        self._cut(links, self._random_cut_s())

    def _link_slow(self) -> None:
        """Delay all messages of one machine, both ways or one way."""
        vms = [*self.agents]
        entries = [entry.name for entry in self.entries]
        if self.rng.random() < 0.5:
            vms = [self.rng.choice(vms)]
        else:
            entries = [self.rng.choice(entries)]
        ways = self.rng.choice(("up", "down", "both"))
        delay_s = self.rng.uniform(0.3, 4.0)
        links = []
        for vm in vms:
            for entry in entries:
                if ways != "down":
                    links.append((vm, entry))
                if ways != "up":
                    links.append((entry, vm))
        for link in links:
            self.slow_links[link] = delay_s
        self.after(
            self.rng.uniform(2.0, 12.0), lambda: self._restore_links(links)
        )

    def _restore_links(self, links: list[tuple[str, str]]) -> None:
        for link in links:
            self.slow_links.pop(link, None)

    def _store_down(self) -> None:
        self.store.down = self.rng.choice(("refuse", "silent"))
        self.after(
            self.rng.uniform(0.5, 9.0),
            lambda: setattr(self.store, "down", ""),
        )

    def _store_lost(self) -> None:
        self.store.lost_share = self.rng.choice((0.3, 0.3, 0.8))
        self.after(
            self.rng.uniform(2.0, 9.0),
            lambda: setattr(self.store, "lost_share", 0.0),
        )

    def _store_slow(self) -> None:
        self.store.travel_factor = self.rng.choice((10.0, 30.0, 60.0))
        self.after(
            self.rng.uniform(1.0, 9.0),
            lambda: setattr(self.store, "travel_factor", 1.0),
        )

    def _worker_crash(self) -> None:
        worker = self.rng.choice(self.workers)
        worker.crash(self.now_s)
        self.after(
            self.rng.uniform(0.2, 8.0),
            lambda: worker.begin_instance(self.now_s),
        )

    def _worker_restarts(self) -> None:
        """Crash some workers that are soon back under their ids.

        Their agents call the new instances before these have checked in, and
        a run that is stopped there takes a while to end.
        """
        count = self.rng.randint(1, len(self.workers))
        for worker in self.rng.sample(self.workers, count):
            worker.stop_takes_s = self.rng.uniform(0.1, 0.9)
            worker.check_in_delay_s = self.rng.uniform(0.0, 0.3)
            worker.crash(self.now_s)
            self.after(
                self.rng.uniform(0.02, 1.0),
                lambda worker=worker: worker.begin_instance(self.now_s),
            )

    def _clock_back(self) -> None:
        """Let some workers' next instances have earlier start times."""
        for worker in self.workers:
            worker.clock_is_back = self.rng.random() < 0.5
        self.after(self.rng.uniform(3.0, 12.0), self._correct_worker_clocks)

    def _correct_worker_clocks(self) -> None:
        for worker in self.workers:
            worker.clock_is_back = False

    def _deadly_task(self) -> None:
        """Submit a job whose tasks crash each worker that starts them."""
        self._deadly_jobs += 1
        if self._deadly_jobs > MAX_DEADLY_JOBS:
            return
        long_running = self.rng.random() < 0.2
        size = Size(300, 2**20, 0)
        step = StepSpec(
            tasks=self.rng.randint(1, 2),
            size=size,
            estimate_ms=1_500,
            long_running=long_running,
            gang=not long_running and self.rng.random() < 0.2,
        )
        self.submit(steps=(step,), payload=DEADLY)

    def _hopeless_lasting(self) -> None:
        """Submit a job that lasts and of which all runs fail at once."""
        self._hopeless_lasting_jobs += 1
        if self._hopeless_lasting_jobs > MAX_HOPELESS_LASTING_JOBS:
            return
        step = StepSpec(
            tasks=self.rng.randint(1, 2),
            size=Size(300, 2**20, 0),
            estimate_ms=1_500,
            long_running=True,
        )
        self.submit(steps=(step,), payload=HOPELESS)

    def _constrained_lasting(self) -> None:
        """Submit a job that lasts and may run on some VMs only."""
        self._constrained_lasting_jobs += 1
        if self._constrained_lasting_jobs > MAX_CONSTRAINED_LASTING_JOBS:
            return
        label, tasks, max_per_vm = self.rng.choice(CONSTRAINTS)
        step = StepSpec(
            tasks=tasks,
            size=Size(300, 2**20, 0),
            estimate_ms=1_500,
            long_running=True,
            label=label,
            max_per_vm=max_per_vm,
        )
        self.submit(steps=(step,), payload="constrained")

    def _failing_runs(self) -> None:
        """Let some runs of tasks that last fail."""
        lasting = [
            (worker, task_id)
            for worker in self.workers
            if worker.alive
            for task_id in worker.running
            if self.oracle.spec_of(task_id).long_running
        ]
        count = min(len(lasting), self.rng.randint(1, 4))
        for worker, task_id in self.rng.sample(lasting, count):
            worker.fail(task_id, self.now_s)

    def _is_disturbed(self) -> bool:
        """Return whether anything but jobs and their runs disturbs now."""
        store = self.store
        if self.now_s - self._config_changed_at_s < CONFIG_APPLY_S:
            return True
        if store.down or store.lost_share or store.muted or self.loss:
            return True
        if store.travel_factor != 1.0 or self.cut_links or self.slow_links:
            return True
        for entry in self.entries:
            if self.now_s < entry.frozen_until_s or entry.store_client.cut:
                return True
            if self._is_calmly_away(entry.name):
                continue
            if not entry.alive or entry.stopping:
                return True
        if any(
            agent.is_disturbed(self.now_s) for agent in self.agents.values()
        ):
            return True
        for worker in self.workers:
            if not worker.is_disturbed(self.now_s):
                continue
            if self._is_calmly_away(worker.vm):
                continue
            if worker.alive and worker.draining and self._planned_is_calm:
                continue
            return True
        return False

    def _is_calmly_away(self, name: str) -> bool:
        """Return whether a planned end or the start after it is under way."""
        if not self._planned_is_calm or name not in self._planned_away_s:
            return False
        from_s, until_s = self._planned_away_s[name]
        return from_s <= self.now_s <= until_s + NEW_INSTANCE_S + STEP_S

    def _worker_freeze(self) -> None:
        worker = self.rng.choice(self.workers)
        if not worker.alive:
            return
        worker.alive = False
        running = worker.running

        def thaw() -> None:
            # A crash has replaced the runs.
            if worker.running is running:
                worker.alive = True

        self.after(self.rng.uniform(0.5, 9.0), thaw)

    def _late_orders(self) -> None:
        for agent in self.agents.values():
            agent.late_share = 0.3
        self.after(self.rng.uniform(1.0, 6.0), self._no_late_orders)

    def _no_late_orders(self) -> None:
        for agent in self.agents.values():
            agent.late_share = 0.0

    def _capacity_changes(self) -> WorkerModel:
        """Shrink a worker, submit a wide job, and let the worker grow."""
        worker = self.rng.choice(self.workers)
        full = Size(4_000, 2**34, 0)
        worker.guards_capacity = self.rng.random() < 0.2
        worker.stop_takes_s = self.rng.uniform(0.0, 1.5)
        cpu = self.rng.choice((0, 1_000, 2_500, 4_000))
        memory_bytes = self.rng.choice((2**34, 2**34, 3 * 2**20))
        worker.resize(Size(cpu, memory_bytes, 0), self.now_s)
        step = StepSpec(self.rng.randint(8, 24), Size(300, 2**20, 0), 1_500)
        self.after(self.rng.uniform(0, 6), lambda: self.submit(steps=(step,)))
        self.after(
            self.rng.uniform(2.0, 15.0),
            lambda: worker.resize(full, self.now_s),
        )
        return worker

    def _unseen_shrinks(self) -> None:
        """Shrink a worker whose agent is suspended or starts again."""
        agent = self.agents[self._capacity_changes().vm]
        agent.check_ins_wait = True
        agent.frozen_until_s = self.now_s + self.rng.uniform(3.5, 6.0)
        if self.rng.random() < 0.5:
            agent.restart(agent.frozen_until_s)

    def _drain(self) -> None:
        worker = self.rng.choice(self.workers)
        worker.draining = True
        self._planned_away_s[worker.vm] = (self.now_s + 3.0, self.now_s + 3.5)
        self.after(3.0, lambda: worker.leave(self.now_s))
        self.after(3.5, lambda: worker.begin_instance(self.now_s))

    def _power_off_all(self) -> None:
        for entry in self.entries:
            entry.kill()
            self.after(self.rng.uniform(0.5, 2.0), entry.restart)
        back_s = self.now_s + self.rng.uniform(0.5, 2.0)
        for agent in self.agents.values():
            agent.frozen_until_s = back_s
            agent.restart(back_s)
        if self.rng.random() < 0.5:
            for worker in self.workers:
                worker.crash(self.now_s)
                self.after(1.0, lambda w=worker: w.begin_instance(self.now_s))

    def unfinished(self) -> list[str]:
        """List jobs that should have ended, idle tasks and idle VMs."""
        left = []
        view = self.entries[0].view
        for job_id, job in self.oracle.jobs.items():
            seen = view.find(job_id)
            if seen is None and job_id not in self.oracle.accepted:
                continue
            if seen is None:
                left.append(f"{job_id} is unknown")
                continue
            if seen.outcome is not Outcome.OPEN:
                continue
            if job.steps[0].long_running and job.payload == HOPELESS:
                continue
            if not job.steps[0].long_running:
                left.append(f"{job_id} is {seen.outcome.value or 'open'}")
                continue
            for index in range(job.steps[0].tasks):
                task_id = f"{job_id}.0.0.{index}"
                if not any(task_id in w.running for w in self.workers):
                    left.append(f"{task_id} is not running")
        left.extend(self._unfollowed_vms())
        return left

    def _unfollowed_vms(self) -> list[str]:
        """List the VMs that the newest leader does not follow or use."""
        leaders = [e.leader for e in self.entries if e.leader is not None]
        if not leaders:
            return ["no entry leads"]
        leader = max(leaders, key=lambda leader: leader.term)
        left = []
        for vm in self.agents:
            ledger = leader.vms.get(vm)
            if (
                ledger is None
                or self.now_s - ledger.heard_at_s > 3 * REPORT_INTERVAL_S
            ):
                left.append(f"{vm} is not followed by {leader.name}")
            elif ledger.worker is None or ledger.worker.lease_expired:
                left.append(f"{vm} has a worker that {leader.name} can't use")
        return left
