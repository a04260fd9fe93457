"""Planning of claims: which waiting tasks start on which VMs."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from yuccapoint.cell import crash_trials
from yuccapoint.cell.obstacle import Obstacle
from yuccapoint.cell.occurrence_state import Outcome
from yuccapoint.cell.occurrence_state import Phase
from yuccapoint.cell.placement_costs import total_cost
from yuccapoint.cell.placement_rules import PlacementRules
from yuccapoint.cell.step_ranking import StepRanking
from yuccapoint.cell.vm_candidate import VmCandidate

if TYPE_CHECKING:
    from collections.abc import Iterable

    from yuccapoint.cell.interference_model import InterferenceModel
    from yuccapoint.cell.job_run import JobRun
    from yuccapoint.cell.step_run import StepRun
    from yuccapoint.cell.task_run import TaskRun
    from yuccapoint.cell.ticket_cache import TicketCache
    from yuccapoint.cell.vm_ledger import VmLedger

# A job counts as late when its expected end is past its objective by more
# than this share of the objective's span, as run time estimates are rough.
LATE_TOLERANCE = 0.1
# A job expected to take this many times the span of its objective is worth
# nothing to its caller and is scheduled last.
EXPIRED_AFTER_OBJECTIVES = 3.0
# After this time a long-running task that is suspected of crashing workers
# may start on any VM, however many are kept for others: trials take a second
# each.
TRIAL_WAIT_LIMIT_S = 2.0
# A long-running task that waits for this long starts before suspects do, on a
# VM where no trial is under way. It is to run within 6 s.
TURN_WAIT_LIMIT_S = 3.0


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
    ) -> None:
        self._vms = vms
        self._rules = PlacementRules(ticket_cache, now_s)
        self._interference = interference
        self._now_s = now_s
        self._wall_ms = wall_ms
        self.unplaced: list[StepRun] = []
        # Tasks, by identity, that have got a VM before the suspects.
        self._placed: set[int] = set()
        self._crowded_pools: set[str] = set()

    def plan(self, jobs: Iterable[JobRun]) -> list[tuple[TaskRun, VmLedger]]:
        """Choose tasks and their VMs, the most urgent first."""
        chosen: list[tuple[TaskRun, VmLedger]] = []
        steps = sorted(self.ready_steps(jobs), key=self._urgency)
        if not steps:
            return chosen
        candidates_by_pool = self._open_candidates()
        with_suspects = [
            step for step in steps if any(t.is_suspect for t in step.tasks)
        ]
        if with_suspects:
            # Trials that follow each other would keep all VMs from them.
            for step in steps:
                candidates = candidates_by_pool.get(_pool_of(step))
                if candidates and not step.spec.gang:
                    chosen.extend(self._place_overdue(step, candidates))
        self._note_crowded_pools(with_suspects, candidates_by_pool)
        # Before all others, or their starts would leave no VM quiet.
        for step in with_suspects:
            candidates = candidates_by_pool.get(_pool_of(step))
            if not candidates:
                continue
            place = self._place_suspects
            if step.spec.gang:
                place = self._place_gang
            chosen.extend(place(step, candidates))
        begun = {id(task.step) for task, _ in chosen}
        for step in steps:
            candidates = candidates_by_pool.get(_pool_of(step))
            if not candidates:
                continue
            if step.spec.gang:
                if id(step) not in begun:
                    chosen.extend(self._place_gang(step, candidates))
                continue
            tasks = [
                task for task in step.tasks if id(task) not in self._placed
            ]
            idle = _is_idle(step) and id(step) not in begun
            chosen.extend(
                self._place_tasks(step, tasks, candidates, idle=idle)
            )
        return chosen

    def _note_crowded_pools(
        self,
        with_suspects: list[StepRun],
        candidates_by_pool: dict[str, list[VmCandidate]],
    ) -> None:
        """Note the pools in which trials one by one would take too long."""
        waiting: dict[str, int] = {}
        for step in with_suspects:
            if not step.spec.long_running:
                continue
            pool = _pool_of(step)
            waiting[pool] = waiting.get(pool, 0) + sum(
                task.is_suspect and self._rules.is_waiting(task)
                for task in step.tasks
            )
        for pool, count in waiting.items():
            vms = len(candidates_by_pool.get(pool, ()))
            if count > crash_trials.MAX_QUEUED_TRIALS * vms:
                self._crowded_pools.add(pool)

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
            if self._rules.has_waited(task, TURN_WAIT_LIMIT_S)
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
            step, tasks, open_vms[:1], idle=_is_idle(step), is_first=True
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

    def _urgency(self, step: StepRun) -> tuple[int, int, float, float]:
        """Return a step's sort key, by what its callers can still gain.

        Jobs that can still meet their objective go first, those with the
        least remaining work leading, then late jobs, then jobs without any
        value left. In first-come order an overload would make every job
        late, as each waits behind all earlier ones.
        """
        queue = step.occurrence.job.submission.queue
        if step.spec.long_running:
            # Tasks limited per VM are placed before those that may run on
            # any VM, which could otherwise fill the VMs they need.
            since_s = min(
                task.waiting_since_s
                for task in step.tasks
                if self._rules.is_waiting(task)
            )
            return (0, 0, step.spec.max_per_vm or math.inf, since_s)
        remaining_work = step.occurrence.remaining_work()
        return (self.lateness(step), queue.priority, remaining_work, 0.0)

    def lateness(self, step: StepRun) -> int:
        """Classify how late a step's job will be.

        Returns
        -------
        int
            0 when the job can meet its objective, 1 when it will be late,
            2 when it is too late to be of value to its callers.
        """
        if step.spec.long_running:
            return 0
        job = step.occurrence.job
        queue = job.submission.queue
        objective_ms = job.objective_at_ms(step.occurrence.number)
        span_ms = (
            queue.objective_factor * job.critical_path_ms + queue.objective_ms
        )
        end_ms = self._wall_ms + step.occurrence.critical_path_left_ms()
        if end_ms > objective_ms + (EXPIRED_AFTER_OBJECTIVES - 1) * span_ms:
            return 2
        return int(end_ms > objective_ms + LATE_TOLERANCE * span_ms)

    def would_fit(self, step: StepRun, candidate: VmCandidate) -> bool:
        """Return whether a candidate VM would get a task of a step."""
        pool = step.occurrence.job.submission.queue.pool
        worker = candidate.ledger.worker
        if worker is None or worker.pool != pool:
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
        for task in tasks:
            if task.is_suspect or not self._rules.is_waiting(task):
                continue
            if idle and not chosen:
                candidate = self._choose(task, candidates, overcommit=True)
            elif task.failed_on or task.left_vm:
                candidate = self._choose(task, candidates)
            else:
                if ranking is None:
                    ranking = StepRanking(self._cost, task, candidates)
                candidate = ranking.best()
            if candidate is None:
                # The step's other tasks have the same size.
                if not is_first and not self.lateness(step):
                    self.unplaced.append(step)
                break
            candidate.place(step.spec, id(step))
            crash_trials.note_start(task, candidate)
            if ranking is not None:
                ranking.update(candidate)
            chosen.append((task, candidate.ledger))
        return chosen

    def _place_suspects(
        self, step: StepRun, candidates: list[VmCandidate]
    ) -> list[tuple[TaskRun, VmLedger]]:
        """Place the step's suspects, each where it starts alone.

        A crash then tells whether it was its cause, and takes no other new
        run with it. The claims of a suspect that has to wait are not counted
        as unplaced, as no preemption would help.
        """
        chosen: list[tuple[TaskRun, VmLedger]] = []
        for task in step.tasks:
            if not task.is_suspect or not self._rules.is_waiting(task):
                continue
            reserved = [
                c for c in candidates if c.reserved_for == task.task_id
            ]
            if (
                not reserved
                and not self._rules.has_waited(task, TRIAL_WAIT_LIMIT_S)
                and not crash_trials.has_vm_left(candidates)
            ):
                continue
            overcommit = _is_idle(step) and not chosen
            candidate = self._choose(
                task, reserved or candidates, overcommit=overcommit
            )
            if candidate is not None:
                candidate.place(step.spec, id(step))
                crash_trials.note_start(task, candidate)
                chosen.append((task, candidate.ledger))
                continue
            if not reserved:
                self._reserve(task, candidates, overcommit=overcommit)
        return chosen

    def _reserve(
        self,
        task: TaskRun,
        candidates: list[VmCandidate],
        *,
        overcommit: bool,
    ) -> None:
        """Reserve the VM with the fewest runs that are starting."""
        best: VmCandidate | None = None
        for candidate in candidates:
            if candidate.on_trial:
                continue
            cost = self._cost_beside(task, candidate, overcommit=overcommit)
            if cost is None:
                continue
            if best is None or candidate.starting_runs < best.starting_runs:
                best = candidate
        if best is not None:
            crash_trials.reserve(task, best, self._now_s)

    def _place_gang(
        self, step: StepRun, candidates: list[VmCandidate]
    ) -> list[tuple[TaskRun, VmLedger]]:
        # A gang starts as a whole: wait until no member holds a claim.
        if any(task.phase is Phase.CLAIMED for task in step.tasks):
            return []
        if step.spec.same_rack:
            racks = sorted({candidate.labels[-1:] for candidate in candidates})
            for rack in racks:
                in_rack = [
                    candidate
                    for candidate in candidates
                    if candidate.labels[-1:] == rack
                ]
                chosen = self._place_all(step, in_rack)
                if chosen:
                    return chosen
        return self._place_all(step, candidates)

    def _place_all(
        self, step: StepRun, candidates: list[VmCandidate]
    ) -> list[tuple[TaskRun, VmLedger]]:
        chosen = self._place_members(step, candidates)
        if not chosen and any(task.is_suspect for task in step.tasks):
            # Not every pool has a VM for each suspect of a gang.
            chosen = self._place_members(step, candidates, alone=False)
        by_name = {
            candidate.ledger.name: candidate for candidate in candidates
        }
        for task, ledger in chosen:
            by_name[ledger.name].place(step.spec, id(step))
            crash_trials.note_start(task, by_name[ledger.name])
        return chosen

    def _place_members(
        self,
        step: StepRun,
        candidates: list[VmCandidate],
        *,
        alone: bool = True,
    ) -> list[tuple[TaskRun, VmLedger]]:
        copies = [candidate.copy() for candidate in candidates]
        chosen = []
        for task in step.tasks:
            copied = self._choose(task, copies, alone=alone)
            if copied is None:
                return []
            copied.place(step.spec, id(step))
            crash_trials.note_start(task, copied)
            chosen.append((task, copied.ledger))
        return chosen

    def _choose(
        self,
        task: TaskRun,
        candidates: list[VmCandidate],
        *,
        overcommit: bool = False,
        alone: bool = True,
    ) -> VmCandidate | None:
        best: VmCandidate | None = None
        best_cost = math.inf
        rate = self._cost if alone else self._cost_beside
        for candidate in candidates:
            cost = rate(task, candidate, overcommit=overcommit)
            if cost is not None and cost < best_cost:
                best, best_cost = candidate, cost
        return best

    def _cost(
        self,
        task: TaskRun,
        candidate: VmCandidate,
        *,
        overcommit: bool = False,
    ) -> float | None:
        """Return the cost of placing a task on a VM; None if it can't."""
        if self._find_trial(task, candidate) is not None:
            return None
        return self._cost_beside(task, candidate, overcommit=overcommit)

    def _find_trial(
        self, task: TaskRun, candidate: VmCandidate
    ) -> Obstacle | None:
        """Return why the start of a suspect rules out a placement, or None."""
        if (
            _pool_of(task.step) in self._crowded_pools
            and self._rules.has_waited(task, TURN_WAIT_LIMIT_S)
            and crash_trials.may_join(task, candidate)
        ):
            return None
        return crash_trials.find_obstacle(task, candidate)

    def _cost_beside(
        self,
        task: TaskRun,
        candidate: VmCandidate,
        *,
        overcommit: bool = False,
    ) -> float | None:
        """Return the cost of a task beside runs that are starting."""
        obstacle = self._rules.find_obstacle(
            task, candidate, overcommit=overcommit
        )
        return None if obstacle else total_cost(task, candidate)

    def reasons_by_vm(self, task: TaskRun) -> dict[str, str]:
        """Return why the VMs of a task's pool get no run of it now.

        The reason is ``open`` for a VM that could, but for the limit of the
        VMs that suspects may keep. VMs without a worker belong to any pool.
        """
        pool = task.step.occurrence.job.submission.queue.pool
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
        return obstacle or self._find_trial(task, candidate)


def _pool_of(step: StepRun) -> str:
    return step.occurrence.job.submission.queue.pool


def _is_idle(step: StepRun) -> bool:
    """Return whether no task of the job has a claim.

    Each job runs at least one task, however crowded the VMs are.
    """
    return all(
        task.phase is not Phase.CLAIMED for task in step.occurrence.tasks
    )
