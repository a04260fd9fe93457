"""A VM in virtual time: real agent logic and a simulated worker."""

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

TICK_INTERVAL_S = 0.1
MAX_WORKER_DELAY_S = 0.004


class CellVm:
    """One VM; its agent and its worker can fail separately.

    Attributes
    ----------
    up, agent_up, paused : bool
        Whether the VM runs, its agent runs, its agent is paused.
    cut_off : bool
        Whether the VM is partitioned from the entries.
    """

    def __init__(
        self, simulation: BatchSimulation, name: str, capacity: Size
    ) -> None:
        self.simulation = simulation
        self.name = name
        self.capacity = capacity
        self.up = True
        self.agent_up = True
        self.paused = False
        self.cut_off = False
        self.clock_drift = 0.0
        self.clock_offset_s = simulation.rng.uniform(10.0, 10_000.0)
        self.incarnation = 0
        self.lapsed_tasks = 0
        self.finished_tasks = 0
        self._report_at_s = simulation.rng.random()
        self._paused_grants: list[LeaseGrant] = []
        self._reset_worker()

    @property
    def now_s(self) -> float:
        """Monotonic clock of the VM."""
        return self.clock_offset_s + self.simulation.now_s * (
            1.0 + self.clock_drift
        )

    def set_clock_drift(self, clock_drift: float) -> None:
        """Change the rate of the clock without a jump of its reading."""
        self.clock_offset_s += self.simulation.now_s * (
            self.clock_drift - clock_drift
        )
        self.clock_drift = clock_drift

    def start(self) -> None:
        """Start the VM with an empty worker."""
        self._reset_worker()
        self.up = True
        self._start_agent()
        self._tick()

    def crash(self) -> None:
        """Stop the VM at once; its agent and tasks are lost."""
        self.up = False
        self.agent_up = False
        self.worker.tasks.clear()

    def restart_agent(self) -> None:
        """Restart the agent while the worker keeps its tasks."""
        if self.up:
            self._start_agent()

    def resume(self) -> None:
        """Resume the agent after a pause and process the held grants."""
        self.paused = False
        for message in self._paused_grants:
            self.on_grant(message)
        self._paused_grants.clear()

    def on_grant(self, message: LeaseGrant) -> None:
        """Process a grant; a paused agent holds it until it resumes."""
        if not self.agent_up or self.cut_off:
            return
        if self.paused:
            self._paused_grants.append(message)
            return
        self._execute(self.task_manager.on_grant(message, self.now_s))

    def on_stopping(self, entry: str) -> None:
        """Handle the planned stop of an entry."""
        if not self.agent_up or self.paused:
            return
        if self.task_manager.on_leader_stopping(entry):
            self._report()

    def _reset_worker(self) -> None:
        self.worker = WorkerModel(self.capacity)

    def _start_agent(self) -> None:
        self.agent_up = True
        self.paused = False
        self._paused_grants.clear()
        self.incarnation += 1
        self.task_manager = TaskManager(
            self.name, self.incarnation, self.capacity
        )
        self._execute(self.task_manager.on_inventory(self.worker.running()))
        self._next_event = self.worker.next_number
        for ended in self.worker.events_from(0):
            self._execute(self.task_manager.on_replayed_end(ended))

    def _tick(self) -> None:
        if not self.up:
            return
        self.simulation.schedule(TICK_INTERVAL_S, self._tick)
        running = set(self.worker.tasks)
        self.worker.tick(self.now_s)
        self.simulation.oracle.record_end(
            self, running - set(self.worker.tasks)
        )
        if not self.agent_up or self.paused:
            return
        self._process_worker_events()
        if self.simulation.now_s >= self._report_at_s:
            self._report()

    def _process_worker_events(self) -> None:
        ended = self.worker.events_from(self._next_event)
        self._next_event = self.worker.next_number
        for event in ended:
            self.lapsed_tasks += event.outcome == "lapsed"
            self.finished_tasks += event.outcome == "done"
            self._execute(self.task_manager.on_ended(event))
        if ended:
            self._report()

    def _report(self) -> None:
        now_s = self.now_s
        self._report_at_s = (
            self.simulation.now_s + lease_rules.REPORT_INTERVAL_S
        )
        task_manager = self.task_manager
        if task_manager.inventory_loaded:
            candidates = [
                e.entry_id for e in self.simulation.entries if e.can_lead
            ]
            rotation = (int(self.name.rpartition("-")[2])) % max(
                1, len(candidates)
            )
            task_manager.choose_leader(
                candidates[rotation:] + candidates[:rotation], now_s
            )
        report = make_report(
            self.name,
            self.capacity,
            task_manager.allocator.free,
            task_manager.next_sequence(now_s),
            term=task_manager.term,
            requested_leader=task_manager.candidate,
            incarnation=self.incarnation,
            tasks=[task.report for task in task_manager.tasks.values()],
        )
        if self.cut_off:
            return
        for entry in self.simulation.entries:
            self.simulation.deliver(partial(entry.on_report, report))

    def _execute(self, actions: list[Action]) -> None:
        for action in actions:
            delay_s = MAX_WORKER_DELAY_S * self.simulation.rng.random()
            call = partial(self._call_worker, self.worker, action)
            self.simulation.schedule(delay_s, call)

    def _call_worker(self, worker: WorkerModel, action: Action) -> None:
        if not self.up or worker is not self.worker:
            return
        if isinstance(action, WorkerStart):
            self._start_task(action)
        elif isinstance(action, WorkerRenew):
            worker.renew(action.lease_until_s)
        elif isinstance(action, WorkerStop):
            self._stop_task(action)

    def _stop_task(self, action: WorkerStop) -> None:
        try:
            self.worker.stop(action.job_id, action.attempt, self.now_s)
        except WorkerRefusedError:
            return
        self.simulation.oracle.record_end(self, [action.job_id])

    def _start_task(self, action: WorkerStart) -> None:
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
            self._execute(self.task_manager.on_ended(ended))
            return
        self.simulation.oracle.record_start(self, job.job_id, action.attempt)
