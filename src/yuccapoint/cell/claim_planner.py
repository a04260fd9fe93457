"""Chooses which waiting tasks start where."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from yuccapoint.cell.placement_costs import total_cost
from yuccapoint.cell.progress import Outcome
from yuccapoint.cell.progress import Phase
from yuccapoint.cell.vm_room import VmRoom

if TYPE_CHECKING:
    from collections.abc import Iterable

    from yuccapoint.cell.advice_book import AdviceBook
    from yuccapoint.cell.disturbance_watch import DisturbanceWatch
    from yuccapoint.cell.job_run import JobRun
    from yuccapoint.cell.job_run import StepRun
    from yuccapoint.cell.job_run import TaskRun
    from yuccapoint.cell.step_spec import StepSpec
    from yuccapoint.cell.vm_ledger import VmLedger

# Filling work may want this much more than the processors that are left:
# its demand is uneven, and more would only slow all of it down.
FILLING_OVERBOOKING = 1.1
# Estimates are rough: a job counts as late when it is expected to end this
# share of its objective's span after it.
MEET_SLACK = 0.1
# Most load that filling work may add to a service, as far as is known:
# beyond, the guard would slow all of it down.
MAX_DISTURBANCE = 0.12
# A job this many objectives late earns nothing and goes last.
HOPELESS_OBJECTIVES = 3.0


class ClaimPlanner:
    """Plans one round of claims.

    Parameters
    ----------
    vms : iterable of VmLedger
        All VMs.
    advice : AdviceBook
        Permissions for steps of queues that have an adviser.
    disturbances : DisturbanceWatch
        What is known of images that disturb each other.
    now_s : float
        Steady time in seconds.
    wall_ms : int
        Wall-clock time in milliseconds.

    Attributes
    ----------
    unplaced : list of StepRun
        Steps of jobs still in time that found no room for a task.
    """

    def __init__(
        self,
        vms: Iterable[VmLedger],
        advice: AdviceBook,
        disturbances: DisturbanceWatch,
        now_s: float,
        wall_ms: int,
    ) -> None:
        self._advice = advice
        self._now_s = now_s
        self._wall_ms = wall_ms
        self.unplaced: list[StepRun] = []
        self._rooms: dict[str, list[VmRoom]] = {}
        for vm in vms:
            if vm.worker is not None and vm.is_open(now_s):
                rooms = self._rooms.setdefault(vm.worker.pool, [])
                rooms.append(VmRoom(vm, disturbances))

    def plan(self, jobs: Iterable[JobRun]) -> list[tuple[TaskRun, VmLedger]]:
        """Choose tasks and their VMs, the most urgent first."""
        chosen: list[tuple[TaskRun, VmLedger]] = []
        for step in sorted(self.ready_steps(jobs), key=self._urgency):
            rooms = self._rooms.get(step.occurrence.job.submission.queue.pool)
            if not rooms:
                continue
            if step.spec.gang:
                chosen.extend(self._place_gang(step, rooms))
                continue
            chosen.extend(self._place_tasks(step, rooms))
        return chosen

    def ready_steps(self, jobs: Iterable[JobRun]) -> Iterable[StepRun]:
        """Give all steps with tasks that wait for a VM."""
        for job in jobs:
            for occurrence in job.occurrences.values():
                if occurrence.outcome is not Outcome.OPEN:
                    continue
                due_ms = job.submission.due_at_ms(occurrence.number)
                if due_ms > self._wall_ms:
                    continue
                for step in occurrence.steps:
                    if step.finished or not occurrence.is_ready(step):
                        continue
                    if any(self._waits(task) for task in step.tasks):
                        yield step

    def _waits(self, task: TaskRun) -> bool:
        if task.phase is not Phase.WAITING:
            return False
        return task.not_before_s <= self._now_s

    def _urgency(self, step: StepRun) -> tuple[int, int, float]:
        """Order steps by what their callers still gain.

        Answers a burst of more work than can be done in time: without it
        every job waits behind all earlier ones and all are late. First go
        jobs that can still meet their objective, the least work left
        first, then late ones, then those whose callers gain nothing more.
        """
        queue = step.occurrence.job.submission.queue
        if step.spec.lasting:
            # Tasks that must spread find room on dense VMs only if those
            # that may stand anywhere come after them.
            return (0, 0, step.spec.max_per_vm or math.inf)
        work_left = step.occurrence.work_left()
        return (self.lateness(step), queue.priority, work_left)

    def lateness(self, step: StepRun) -> int:
        """Tell what a step's callers still gain.

        Returns
        -------
        int
            0 when the job can meet its objective, 1 when it will be late,
            2 when its callers gain nothing more.
        """
        if step.spec.lasting:
            return 0
        job = step.occurrence.job
        queue = job.submission.queue
        objective_ms = job.objective_at_ms(step.occurrence.number)
        span_ms = queue.objective_factor * job.chain_ms + queue.objective_ms
        end_ms = self._wall_ms + step.occurrence.chain_left_ms()
        if end_ms > objective_ms + (HOPELESS_OBJECTIVES - 1) * span_ms:
            return 2
        return int(end_ms > objective_ms + MEET_SLACK * span_ms)

    def would_take(self, step: StepRun, room: VmRoom) -> bool:
        """Tell whether a VM with this room would get a task of a step."""
        pool = step.occurrence.job.submission.queue.pool
        worker = room.ledger.worker
        if worker is None or worker.pool != pool:
            return False
        return room.suits(step.spec) and not _is_crowded(step.spec, room)

    def _place_tasks(
        self, step: StepRun, rooms: list[VmRoom]
    ) -> list[tuple[TaskRun, VmLedger]]:
        chosen: list[tuple[TaskRun, VmLedger]] = []
        # Each job gets on, however much filling work waits for processors.
        idle = all(
            task.phase is not Phase.CLAIMED for task in step.occurrence.tasks
        )
        for task in step.tasks:
            if not self._waits(task):
                continue
            first = idle and not chosen
            room = self._choose(task, rooms, overbook=first)
            if room is None:
                # The other tasks of the step are as large as this one.
                if not self.lateness(step):
                    self.unplaced.append(step)
                break
            room.take(step.spec, id(step))
            chosen.append((task, room.ledger))
        return chosen

    def _place_gang(
        self, step: StepRun, rooms: list[VmRoom]
    ) -> list[tuple[TaskRun, VmLedger]]:
        # A gang starts only when all of it does: none may still hold room.
        if any(task.phase is Phase.CLAIMED for task in step.tasks):
            return []
        if step.spec.same_rack:
            racks = sorted({room.labels[-1:] for room in rooms})
            for rack in racks:
                near = [room for room in rooms if room.labels[-1:] == rack]
                chosen = self._place_all(step, near)
                if chosen:
                    return chosen
        return self._place_all(step, rooms)

    def _place_all(
        self, step: StepRun, rooms: list[VmRoom]
    ) -> list[tuple[TaskRun, VmLedger]]:
        copies = [room.copy() for room in rooms]
        chosen = []
        for task in step.tasks:
            copied = self._choose(task, copies)
            if copied is None:
                return []
            copied.take(step.spec, id(step))
            chosen.append((task, copied.ledger))
        by_name = {room.ledger.name: room for room in rooms}
        for _, ledger in chosen:
            by_name[ledger.name].take(step.spec, id(step))
        return chosen

    def _choose(
        self, task: TaskRun, rooms: list[VmRoom], *, overbook: bool = False
    ) -> VmRoom | None:
        spec = task.step.spec
        best: VmRoom | None = None
        best_cost = float("inf")
        for room in rooms:
            if not room.suits(spec):
                continue
            count = room.step_counts.get(id(task.step), 0)
            if spec.max_per_vm and count >= spec.max_per_vm:
                continue
            if spec.filling and not overbook and _is_crowded(spec, room):
                continue
            on_trial = room.ledger.is_on_trial(self._now_s)
            if on_trial and (room.step_counts or spec.lasting):
                continue
            life = room.ledger.life
            if life is None:
                continue
            if not self._advice.allows(task.step, life, self._now_s):
                continue
            cost = total_cost(task, room)
            if cost < best_cost:
                best, best_cost = room, cost
        return best


def _is_crowded(spec: StepSpec, room: VmRoom) -> bool:
    """Tell whether one more filling task would slow others down."""
    if not room.filling_millicores:
        return False
    idle = room.capacity.millicores * FILLING_OVERBOOKING
    if spec.size.millicores > idle - room.demand_millicores:
        return True
    share = room.share_of(spec)
    for image in room.serving_images:
        added = share * room.disturbances.expected(image, spec.image)
        if room.disturbance(image) + added > MAX_DISTURBANCE:
            return True
    return False
