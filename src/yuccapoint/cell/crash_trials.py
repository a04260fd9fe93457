"""Separate starts of tasks that are suspected of crashing workers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.cell.obstacle import Obstacle

if TYPE_CHECKING:
    from yuccapoint.cell.task_run import TaskRun
    from yuccapoint.cell.vm_candidate import VmCandidate

# A run counts as starting for this long after it was first reported. Its
# worker has then listed it, or its crash is being noticed.
STARTING_S = 1.0
# A suspect's run that is still reported after this time did not crash its
# worker: the lease of a crashed one has expired by then.
TRIAL_TIMEOUT_S = 6.0
# A VM gets no other starts for at most this long until a suspect can start.
RESERVATION_S = 3.0
# Share of the VMs of a pool that suspects may keep from other starts.
MAX_TRIAL_SHARE = 0.5
# Long-running suspects of a single crash start beside each other while more
# than this many for each VM wait. Trials take a second each, and three of the
# 9 s in which a task is to run again pass until a crash is noticed.
MAX_QUEUED_TRIALS = 1
# A crash accuses all suspects of a trial again; they then start alone.
MAX_SHARED_TRIAL = 4


def assess(candidate: VmCandidate, now_s: float) -> None:
    """Record which runs are starting on a VM."""
    ledger = candidate.ledger
    for task in ledger.claims.values():
        if task.crashes.proven_run >= task.run:
            # Its worker is known to have outlived the start.
            continue
        run_s = now_s - task.started_at_s if task.seen_running else 0.0
        if task.is_suspect and run_s < TRIAL_TIMEOUT_S:
            candidate.on_trial = True
            candidate.starting_runs += 1
            candidate.sharing_suspects += _can_share(task)
        elif run_s < STARTING_S:
            candidate.starting_runs += 1
    candidate.starting_runs += len(ledger.unclaimed_runs)
    if now_s < ledger.reserved_until_s:
        candidate.on_trial = True
        candidate.reserved_for = ledger.reserved_for


def _can_share(task: TaskRun) -> bool:
    """Return whether a suspect may start beside others like it."""
    return task.step.spec.long_running and len(task.crashes.runs) == 1


def may_join(task: TaskRun, candidate: VmCandidate) -> bool:
    """Return whether a suspect that has waited may join those that start."""
    if not task.is_suspect or not _can_share(task):
        return False
    if candidate.reserved_for or not candidate.starting_runs:
        return False
    if candidate.sharing_suspects < candidate.starting_runs:
        return False
    return candidate.starting_runs < MAX_SHARED_TRIAL


def find_obstacle(task: TaskRun, candidate: VmCandidate) -> Obstacle | None:
    """Return why a start would not leave a suspect alone, or None."""
    if task.is_suspect and candidate.starting_runs:
        return Obstacle.STARTING_RUNS
    if not candidate.on_trial:
        return None
    if task.is_suspect and candidate.reserved_for == task.task_id:
        return None
    return Obstacle.KEPT_FOR_SUSPECT


def note_start(task: TaskRun, candidate: VmCandidate) -> None:
    """Record a start that is planned on a VM."""
    candidate.starting_runs += 1
    if not task.is_suspect:
        return
    candidate.on_trial = True
    candidate.sharing_suspects += _can_share(task)
    candidate.reserved_for = ""
    if candidate.ledger.reserved_for == task.task_id:
        candidate.ledger.reserved_for = ""
        candidate.ledger.reserved_until_s = 0.0


def has_vm_left(candidates: list[VmCandidate]) -> bool:
    """Return whether another VM may be kept for a suspect."""
    kept = open_vms = 0
    for candidate in candidates:
        kept += candidate.on_trial
        open_vms += candidate.blame is not Obstacle.QUARANTINE
    return kept < max(1, int(MAX_TRIAL_SHARE * open_vms))


def reserve(task: TaskRun, candidate: VmCandidate, now_s: float) -> None:
    """Keep a VM from other starts until a suspect can start alone."""
    candidate.on_trial = True
    candidate.reserved_for = task.task_id
    candidate.ledger.reserved_for = task.task_id
    candidate.ledger.reserved_until_s = now_s + RESERVATION_S
