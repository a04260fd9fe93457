"""A VM in virtual time: the agent's real logic and a stand-in worker."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from yuccapoint.bench.batch_workload import make_report
from yuccapoint.connection.http_worker import StartBody
from yuccapoint.job import lease_rules
from yuccapoint.job.actions import WorkerRenew
from yuccapoint.job.actions import WorkerStart
from yuccapoint.job.actions import WorkerStop
from yuccapoint.job.task_manager import TaskManager
from yuccapoint.job.worker_events import TaskEnded
from yuccapoint_standins.worker_model import WorkerModel
from yuccapoint_standins.worker_model import WorkerRefusedError

if TYPE_CHECKING:
    from yuccapoint.bench.batch_simulation import BatchSimulation
    from yuccapoint.connection.messages import LeaseGrant
    from yuccapoint.job.actions import Action
    from yuccapoint.job.size import Size

TICK_S = 0.1
CALL_S = 0.004


class CellVm:
    """One VM; agent and worker may fail apart.

    Attributes
    ----------
    up, agent_up, paused : bool
        Whether the VM runs, its agent runs, its agent is scheduled.
    cut_off : bool
        Whether no message passes between the VM and the entries.
    """

    def __init__(
        self, world: BatchSimulation, name: str, capacity: Size
    ) -> None:
        self.world = world
        self.name = name
        self.capacity = capacity
        self.up = True
        self.agent_up = True
        self.paused = False
        self.cut_off = False
        self.drift = 0.0
        self.offset_s = world.rng.uniform(10.0, 10_000.0)
        self.incarnation = 0
        self.lapsed_tasks = 0
        self.finished_tasks = 0
        self._report_at_s = world.rng.random()
        self._held: list[LeaseGrant] = []
        self._begin()

    @property
    def now_s(self) -> float:
        """The VM's monotonic clock."""
        return self.offset_s + self.world.now_s * (1.0 + self.drift)

    def set_drift(self, drift: float) -> None:
        """Let the clock run faster or slower from now on."""
        self.offset_s += self.world.now_s * (self.drift - drift)
        self.drift = drift

    def start(self) -> None:
        """Start the VM with an empty worker."""
        self._begin()
        self.up = True
        self._start_agent()
        self._tick()

    def die(self) -> None:
        """Lose the VM with all that runs there."""
        self.up = False
        self.agent_up = False
        self.worker.tasks.clear()

    def restart_agent(self) -> None:
        """Start the agent anew; the worker runs on."""
        if self.up:
            self._start_agent()

    def resume(self) -> None:
        """Let the agent run on after a pause."""
        self.paused = False
        for message in self._held:
            self.on_grant(message)
        self._held.clear()

    def on_grant(self, message: LeaseGrant) -> None:
        """Take a grant."""
        if not self.agent_up or self.cut_off:
            return
        if self.paused:
            self._held.append(message)
            return
        self._act(self.keeper.on_grant(message, self.now_s))

    def on_stopping(self, entry: str) -> None:
        """Take note that an entry stops."""
        if not self.agent_up or self.paused:
            return
        if self.keeper.on_leader_stopping(entry):
            self._report()

    def _begin(self) -> None:
        self.worker = WorkerModel(self.capacity)

    def _start_agent(self) -> None:
        self.agent_up = True
        self.paused = False
        self._held.clear()
        self.incarnation += 1
        self.keeper = TaskManager(self.name, self.incarnation, self.capacity)
        self._act(self.keeper.on_inventory(self.worker.running()))
        self._event = self.worker.next_number
        for ended in self.worker.events_from(0):
            self._act(self.keeper.on_replayed_end(ended))

    def _tick(self) -> None:
        if not self.up:
            return
        self.world.schedule(TICK_S, self._tick)
        running = set(self.worker.tasks)
        self.worker.tick(self.now_s)
        self.world.oracle.record_end(self, running - set(self.worker.tasks))
        if not self.agent_up or self.paused:
            return
        self._take_events()
        if self.world.now_s >= self._report_at_s:
            self._report()

    def _take_events(self) -> None:
        ended = self.worker.events_from(self._event)
        self._event = self.worker.next_number
        for event in ended:
            self.lapsed_tasks += event.outcome == "lapsed"
            self.finished_tasks += event.outcome == "done"
            self._act(self.keeper.on_ended(event))
        if ended:
            self._report()

    def _report(self) -> None:
        now_s = self.now_s
        self._report_at_s = self.world.now_s + lease_rules.REPORT_INTERVAL_S
        keeper = self.keeper
        if keeper.inventory_loaded:
            able = [e.entry_id for e in self.world.entries if e.adopts]
            first = (int(self.name.rpartition("-")[2])) % max(1, len(able))
            keeper.choose_leader(able[first:] + able[:first], now_s)
        report = make_report(
            self.name,
            self.capacity,
            keeper.allocator.free,
            keeper.next_sequence(now_s),
            term=keeper.term,
            requested_leader=keeper.candidate,
            incarnation=self.incarnation,
            tasks=[task.report for task in keeper.tasks.values()],
        )
        if self.cut_off:
            return
        for entry in self.world.entries:
            self.world.deliver(partial(entry.on_report, report))

    def _act(self, actions: list[Action]) -> None:
        for action in actions:
            delay_s = CALL_S * self.world.rng.random()
            call = partial(self._on_worker, self.worker, action)
            self.world.schedule(delay_s, call)

    def _on_worker(self, worker: WorkerModel, action: Action) -> None:
        if not self.up or worker is not self.worker:
            return
        if isinstance(action, WorkerStart):
            self._start(action)
        elif isinstance(action, WorkerRenew):
            worker.renew(action.lease_until_s)
        elif isinstance(action, WorkerStop):
            self._stop(action)

    def _stop(self, action: WorkerStop) -> None:
        try:
            self.worker.stop(action.job_id, action.attempt, self.now_s)
        except WorkerRefusedError:
            return
        self.world.oracle.record_end(self, [action.job_id])

    def _start(self, action: WorkerStart) -> None:
        job = action.job
        body = StartBody(
            job.size,
            job.job_class,
            job.command,
            action.checkpoint,
            action.lease_until_s,
        )
        try:
            self.worker.start(job.job_id, action.attempt, body, self.now_s)
        except WorkerRefusedError as error:
            ended = TaskEnded(
                job.job_id,
                action.attempt,
                "failed",
                str(error),
                action.checkpoint,
            )
            self._act(self.keeper.on_ended(ended))
            return
        self.world.oracle.record_start(self, job.job_id, action.attempt)
