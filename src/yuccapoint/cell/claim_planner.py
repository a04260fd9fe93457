"""Planning of claims: which waiting tasks start on which VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.cell import crash_trials
from yuccapoint.cell import placement_rating
from yuccapoint.cell.full_pools import FullPools
from yuccapoint.cell.gang_placement import place_gang
from yuccapoint.cell.obstacle import Obstacle
from yuccapoint.cell.occurrence_state import Outcome
from yuccapoint.cell.placement_rating import PlacementRating
from yuccapoint.cell.placement_rules import PlacementRules
from yuccapoint.cell.planning_pass import PlanningPass
from yuccapoint.cell.step_ranking import StepRanking
from yuccapoint.cell.step_urgency import lateness
from yuccapoint.cell.step_urgency import urgency
from yuccapoint.cell.suspect_placement import place_suspects
from yuccapoint.cell.vm_candidate import VmCandidate

if TYPE_CHECKING:
    from collections.abc import Iterable

    from yuccapoint.cell.interference_model import InterferenceModel
    from yuccapoint.cell.job_run import JobRun
    from yuccapoint.cell.step_run import StepRun
    from yuccapoint.cell.task_run import TaskRun
    from yuccapoint.cell.ticket_cache import TicketCache
    from yuccapoint.cell.vm_ledger import VmLedger


class ClaimPlanner:
    """Plans one round of claims.

    Parameters
    ----------
    vms : iterable of VmLedger
        All VMs.
    ticket_cache : TicketCache
        Tickets for steps of queues that have an adviser.
    interference : InterferenceModel
        Estimates of the interference between images.
    now_s : float
        Steady time in seconds.
    wall_ms : int
        Wall-clock time in milliseconds.
    planning_pass : PlanningPass or None
        Bounds the round; None for a round without bounds.

    Attributes
    ----------
    unplaced : list of StepRun
        Steps of jobs still on time with a task that could not be placed.
    """

    def __init__(
        self,
        vms: Iterable[VmLedger],
        ticket_cache: TicketCache,
        interference: InterferenceModel,
        now_s: float,
        wall_ms: int,
        planning_pass: PlanningPass | None = None,
    ) -> None:
        self._vms = vms
        self._rules = PlacementRules(ticket_cache, now_s)
        self._rating = PlacementRating(self._rules, now_s)
        self._interference = interference
        self._now_s = now_s
        self._wall_ms = wall_ms
        self.unplaced: list[StepRun] = []
        self._pass = planning_pass or PlanningPass()
        self._full_pools = FullPools()
        # Tasks, by identity, that have got a VM before the suspects.
        self._placed: set[int] = set()

    def plan(self, jobs: Iterable[JobRun]) -> list[tuple[TaskRun, VmLedger]]:
        """Choose tasks and their VMs, the most urgent first."""
        chosen: list[tuple[TaskRun, VmLedger]] = []
        steps = sorted(
            self.ready_steps(jobs),
            key=lambda step: urgency(step, self._rules, self._wall_ms),
        )
        self._pass.begin_round()
        if steps:
            chosen.extend(self._place_steps(steps))
        self._pass.ratings = self._rating.count
        return chosen

    def _place_steps(
        self, steps: list[StepRun]
    ) -> list[tuple[TaskRun, VmLedger]]:
        chosen: list[tuple[TaskRun, VmLedger]] = []
        candidates_by_pool = self._open_candidates()
        with_suspects = [
            step for step in steps if any(t.is_suspect for t in step.tasks)
        ]
        if with_suspects:
            # Trials that follow each other would keep all VMs from them.
            for step in steps:
                candidates = candidates_by_pool.get(step.pool)
                if candidates and not step.spec.gang:
                    chosen.extend(self._place_overdue(step, candidates))
        self._rating.note_crowded_pools(with_suspects, candidates_by_pool)
        # Before all others, or their starts would leave no VM quiet.
        for step in with_suspects:
            candidates = candidates_by_pool.get(step.pool)
            if not candidates:
                continue
            place = place_gang if step.spec.gang else place_suspects
            chosen.extend(place(self._rating, step, candidates))
        begun = {id(task.step) for task, _ in chosen}
        self._pass.exclude_ratings(self._rating.count)
        for step in steps:
            candidates = candidates_by_pool.get(step.pool)
            if not candidates:
                continue
            if not self._pass.has_turn(step, self._rating.count):
                continue
            if step.spec.gang:
                if id(step) not in begun:
                    placed = place_gang(self._rating, step, candidates)
                    if not placed:
                        self._pass.note_unplaced(step)
                    chosen.extend(placed)
                continue
            tasks = [
                task for task in step.tasks if id(task) not in self._placed
            ]
            idle = step.occurrence.is_idle and id(step) not in begun
            chosen.extend(
                self._place_tasks(step, tasks, candidates, idle=idle)
            )
        return chosen

    def _place_overdue(
        self, step: StepRun, candidates: list[VmCandidate]
    ) -> list[tuple[TaskRun, VmLedger]]:
        """Place the step's long-running tasks that have waited for long.

        They share a VM as far as it has room, which leaves the others to
        suspects.
        """
        tasks = [
            task
            for task in step.tasks
            if self._rules.has_waited(task, placement_rating.TURN_WAIT_LIMIT_S)
        ]
        if not tasks:
            return []
        open_vms = [
            candidate
            for candidate in candidates
            if not candidate.on_trial and candidate.can_run(step.spec)
        ]
        # A VM with other starts is of no use to a suspect.
        open_vms.sort(key=lambda candidate: not candidate.starting_runs)
        chosen = self._place_tasks(
            step,
            tasks,
            open_vms[:1],
            idle=step.occurrence.is_idle,
            is_first=True,
        )
        self._placed.update(id(task) for task, _ in chosen)
        return chosen

    def _open_candidates(self) -> dict[str, list[VmCandidate]]:
        """Return the VMs that accept work, by pool."""
        candidates: dict[str, list[VmCandidate]] = {}
        for vm in self._vms:
            if vm.worker is None or self._find_closure(vm) is not None:
                continue
            in_pool = candidates.setdefault(vm.worker.pool, [])
            in_pool.append(self._candidate(vm))
        return candidates

    def _find_closure(self, vm: VmLedger) -> Obstacle | None:
        """Return why a VM is closed to all tasks, or None."""
        obstacle = vm.find_obstacle(self._now_s)
        return None if obstacle is Obstacle.QUARANTINE else obstacle

    def _candidate(self, vm: VmLedger) -> VmCandidate:
        candidate = VmCandidate(vm, self._interference)
        crash_trials.assess(candidate, self._now_s)
        if self._now_s < vm.quarantined_until_s:
            candidate.blame = Obstacle.QUARANTINE
        elif vm.is_on_probation(self._now_s):
            candidate.blame = Obstacle.PROBATION
        return candidate

    def ready_steps(self, jobs: Iterable[JobRun]) -> Iterable[StepRun]:
        """Yield all steps with tasks that wait for a VM."""
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
                    if any(
                        self._rules.is_waiting(task) for task in step.tasks
                    ):
                        yield step

    def lateness(self, step: StepRun) -> int:
        """Classify how late a step's job will be, from 0 to 2."""
        return lateness(step, self._wall_ms)

    def would_fit(self, step: StepRun, candidate: VmCandidate) -> bool:
        """Return whether a candidate VM would get a task of a step."""
        worker = candidate.ledger.worker
        if worker is None or worker.pool != step.pool:
            return False
        return candidate.can_run(step.spec) and not candidate.would_overload(
            step.spec
        )

    def _place_tasks(
        self,
        step: StepRun,
        tasks: list[TaskRun],
        candidates: list[VmCandidate],
        *,
        idle: bool,
        is_first: bool = False,
    ) -> list[tuple[TaskRun, VmLedger]]:
        chosen: list[tuple[TaskRun, VmLedger]] = []
        ranking: StepRanking | None = None
        has_room = not self._full_pools.has_no_room(step)
        for task in tasks:
            if task.is_suspect or not self._rules.is_waiting(task):
                continue
            if chosen and not self._may_go_on(step):
                break
            candidate = None
            if has_room and idle and not chosen and step.spec.best_effort:
                candidate = self._rating.choose(
                    task, candidates, overcommit=True
                )
            elif has_room and (task.failed_on or task.left_vm):
                candidate = self._rating.choose(task, candidates)
            elif has_room:
                if ranking is None:
                    ranking = StepRanking(self._rating.cost, task, candidates)
                candidate = ranking.best()
            if candidate is None:
                # The step's other tasks have the same size.
                if not is_first:
                    self._pass.note_unplaced(step)
                    if has_room:
                        self._full_pools.note_unplaced(step, candidates)
                if not is_first and not lateness(step, self._wall_ms):
                    self.unplaced.append(step)
                break
            candidate.place(step.spec, id(step))
            crash_trials.note_start(task, candidate)
            if ranking is not None:
                ranking.update(candidate)
            chosen.append((task, candidate.ledger))
            self._pass.note_claim()
        return chosen

    def _may_go_on(self, step: StepRun) -> bool:
        """Return whether a further task of a step may be placed now."""
        if step.spec.long_running:
            return True
        return self._pass.may_go_on(self._rating.count)

    def reasons_by_vm(self, task: TaskRun) -> dict[str, str]:
        """Return why the VMs of a task's pool get no run of it now.

        The reason is ``open`` for a VM that could, but for the limit of the
        VMs that suspects may keep. VMs without a worker belong to any pool.
        """
        pool = task.step.pool
        reasons: dict[str, str] = {}
        for vm in self._vms:
            if vm.worker is not None and vm.worker.pool != pool:
                continue
            reasons[vm.name] = self._find_obstacle(task, vm) or "open"
        return reasons

    def _find_obstacle(self, task: TaskRun, vm: VmLedger) -> Obstacle | None:
        closed = self._find_closure(vm)
        if closed is not None:
            return closed
        candidate = self._candidate(vm)
        obstacle = self._rules.find_obstacle(task, candidate)
        return obstacle or self._rating.find_trial(task, candidate)
