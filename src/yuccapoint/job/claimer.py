"""Claims queued jobs for the VMs that an entry leads."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.job.actions import Append
from yuccapoint.job.actions import Explain
from yuccapoint.job.claim_budget import ClaimBudget
from yuccapoint.job.claim_queue import ClaimQueue
from yuccapoint.job.free_capacity_index import FreeCapacityIndex
import yuccapoint.job.placement.interference_aware  # noqa: F401
import yuccapoint.job.placement.policies  # noqa: F401
from yuccapoint.job.placement.registry import PACKING_POLICIES
from yuccapoint.job.placement.registry import PLACEMENT_POLICIES
from yuccapoint.job.pool_shapes import PoolShapes
from yuccapoint.job.records import JobClaimed
from yuccapoint.job.records import JobRejected
from yuccapoint.job.size import Size

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from yuccapoint.job.actions import Action
    from yuccapoint.job.job_board import JobBoard
    from yuccapoint.job.job_entry import JobEntry
    from yuccapoint.job.vm_view import VmView
    from yuccapoint.version.pool import Pool

MAX_CLAIMS_PER_TICK = 400
MAX_SCANS_PER_TICK = 1_200
MAX_PENDING_CLAIMS = 4_000  # claims not yet read back from the log
# Share of the claims per tick open to urgent jobs while others are queued.
URGENT_CLAIM_SHARE = 0.8
# Retries pools in which neither queues nor free capacity have grown.
RETRY_INTERVAL_S = 0.5
MAX_UNPLACEABLE_SIZES = 8
# Draws again when no candidate is schedulable any more.
MAX_CANDIDATE_DRAWS = 3


class Claimer:
    """Claims jobs in fair order for VMs chosen by the pool's policy.

    Parameters
    ----------
    entry : str
        Id of this entry.
    board : JobBoard
        State derived from the log.
    find_pool : callable
        Returns a pool by name.
    rng : random.Random
        Random number generator for placement.
    is_schedulable : callable
        Returns whether a job may be placed on a VM at a time.
    """

    def __init__(
        self,
        entry: str,
        board: JobBoard,
        find_pool: Callable[[str], Pool | None],
        rng: random.Random,
        is_schedulable: Callable[[VmView, float], bool],
    ) -> None:
        self.shapes = PoolShapes()
        self.pending_claims: dict[str, VmView] = {}
        self.refused_claims = 0
        self._entry = entry
        self._board = board
        self._find_pool = find_pool
        self._rng = rng
        self._is_schedulable = is_schedulable
        self._queue = ClaimQueue(entry, board)
        self._capacity_indexes: dict[str, FreeCapacityIndex] = {}
        self._pool_by_vm: dict[str, str] = {}
        self._pending_millicores: dict[tuple[str, str], int] = {}
        self._pending_rejections: set[str] = set()
        self._unplaceable_sizes: list[Size] = []
        self._tried_versions: dict[str, tuple[int, int, int]] = {}
        self._retry_at_s = 0.0
        self._now_s = 0.0
        self._actions: list[Action] = []

    def update_vm(self, view: VmView, now_s: float) -> None:
        """Recompute a VM's free capacity and index it if schedulable."""
        self.shapes.update(view.vm, view.pool, view.capacity)
        pool = self._find_pool(view.pool)
        view.update_free(self._unreported_sizes(view), _reserved_size(pool))
        view.batch_classes = self._batch_classes(view)
        if not self._is_schedulable(view, now_s):
            self.withdraw_vm(view.vm)
            return
        if self._pool_by_vm.get(view.vm, view.pool) != view.pool:
            self.withdraw_vm(view.vm)
        self._pool_by_vm[view.vm] = view.pool
        self._capacity_index(view.pool).put(view)

    def withdraw_vm(self, vm: str) -> None:
        """Remove a VM from the candidates for placement."""
        pool = self._pool_by_vm.pop(vm, None)
        if pool is not None:
            self._capacity_index(pool).remove(vm)

    def forget_vm(self, vm: str) -> None:
        """Remove all state of a VM that has not reported for long."""
        self.withdraw_vm(vm)
        self.shapes.forget(vm)

    def tick(self, now_s: float, wall_ms: int, actions: list[Action]) -> None:
        """Claim the queued jobs that can be placed.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.
        wall_ms : int
            Wall-clock time, compared with the stamps of the log.
        actions : list of Action
            List that the claims are appended to.
        """
        self._now_s = now_s
        self._actions = actions
        self._queue.sync(self.pending_claims, now_s)
        retry = now_s >= self._retry_at_s
        if retry:
            self._retry_at_s = now_s + RETRY_INTERVAL_S
        claims = MAX_PENDING_CLAIMS - len(self.pending_claims)
        budget = ClaimBudget(
            min(MAX_CLAIMS_PER_TICK, claims), MAX_SCANS_PER_TICK
        )
        now_ms = max(wall_ms, self._board.last_stamp_ms)
        pools = self._queue.pools()
        self._rng.shuffle(pools)
        for name in pools:
            if retry or self._tried_versions.get(name) != self._versions(name):
                self._claim_pool(name, budget, now_ms)

    def on_decided(
        self, record: JobClaimed, refusal: str, now_s: float
    ) -> VmView | None:
        """Apply the log's decision on a claim; return the VM if accepted."""
        view = self.pending_claims.pop(record.job_id, None)
        if view is None:
            return None
        size = view.pending_claims.pop(record.job_id)
        entry = self._board.jobs.get(record.job_id)
        if entry is not None:
            key = (entry.job.pool, entry.job.team)
            self._add_pending_millicores(key, -size.millicores)
        if refusal:
            self.refused_claims += 1
            view.quarantine.on_inconclusive_end(record.job_id)
            self._queue.requeue(record.job_id)
        self.update_vm(view, now_s)
        return None if refusal else view

    def on_rejected(self, job_id: str) -> None:
        """Forget a pending rejection that was read back from the log."""
        self._pending_rejections.discard(job_id)

    def _unreported_sizes(self, view: VmView) -> list[Size]:
        leadership = self._board.vms.get(view.vm)
        if leadership is None:
            return []
        unreported = []
        for job_id in leadership.job_ids:
            entry = self._board.jobs[job_id]
            if view.reported_attempts.get(job_id, 0) < entry.attempt:
                unreported.append(entry.job.size)
        return unreported

    def _batch_classes(self, view: VmView) -> list[str]:
        leadership = self._board.vms.get(view.vm)
        job_ids = set(view.pending_claims)
        if leadership is not None:
            job_ids.update(leadership.job_ids)
        entries = (self._board.jobs.get(job_id) for job_id in job_ids)
        return [entry.job.job_class for entry in entries if entry]

    def _capacity_index(self, pool: str) -> FreeCapacityIndex:
        index = self._capacity_indexes.get(pool)
        if index is None:
            index = FreeCapacityIndex()
            self._capacity_indexes[pool] = index
        return index

    def _versions(self, pool: str) -> tuple[int, int, int]:
        return (
            self._capacity_index(pool).version,
            self._queue.own_queue(pool, urgent=True).version,
            self._queue.own_queue(pool, urgent=False).version,
        )

    def _claim_pool(self, name: str, budget: ClaimBudget, now_ms: int) -> None:
        if not budget.remaining:
            return
        versions = self._versions(name)
        self._unplaceable_sizes.clear()
        normal_claims = int(budget.claims * (1.0 - URGENT_CLAIM_SHARE))
        if not len(self._queue.own_queue(name, urgent=False)):
            normal_claims = 0
        budget.claims -= normal_claims
        self._place_own(name, budget, urgent=True)
        self._queue.place_foreign(
            (name, True), self._try_claim, budget, now_ms
        )
        budget.claims += normal_claims
        self._place_own(name, budget, urgent=False)
        self._queue.place_foreign(
            (name, False), self._try_claim, budget, now_ms
        )
        if budget.remaining:
            self._tried_versions[name] = versions

    def _place_own(
        self, name: str, budget: ClaimBudget, *, urgent: bool
    ) -> None:
        queue = self._queue.own_queue(name, urgent=urgent)
        if not len(queue):
            return

        def used_millicores(team: str) -> int:
            running = self._board.team_millicores.get(f"{name}/{team}", 0)
            return running + self._pending_millicores.get((name, team), 0)

        queue.place_jobs(used_millicores, self._try_claim, budget)

    def _try_claim(self, entry: JobEntry) -> bool:
        job = entry.job
        if job.job_id in self._pending_rejections:
            return False
        pool = self._find_pool(job.pool)
        if pool is None or not pool.batch:
            self._reject(entry, f"no pool {job.pool} runs batch jobs")
            return False
        if not self._quota_allows(entry, pool):
            return False
        if any(size.fits(job.size) for size in self._unplaceable_sizes):
            return False
        candidates = self._candidate_vms(entry, pool)
        choice = PLACEMENT_POLICIES[pool.placement](job, candidates, self._rng)
        if choice is None:
            if len(self._unplaceable_sizes) < MAX_UNPLACEABLE_SIZES:
                self._unplaceable_sizes.append(job.size)
            self._reject_impossible(entry, pool)
            return False
        self._claim(entry, pool, choice, len(candidates))
        return True

    def _quota_allows(self, entry: JobEntry, pool: Pool) -> bool:
        job = entry.job
        quota = pool.team_quota_millicores.get(job.team)
        if quota is None:
            return True
        if job.size.millicores > quota:
            self._reject(
                entry,
                f"the quota of {job.team} in {pool.name} is {quota} "
                f"millicores, the job requests {job.size.millicores}; "
                "raise the quota or request less",
            )
            return False
        left = self._board.quota_left(pool, job.team)
        left -= self._pending_millicores.get((pool.name, job.team), 0)
        return left >= job.size.millicores

    def _candidate_vms(self, entry: JobEntry, pool: Pool) -> list[VmView]:
        index = self._capacity_index(pool.name)
        packing = pool.placement in PACKING_POLICIES
        for _ in range(MAX_CANDIDATE_DRAWS):
            drawn = index.candidates(
                entry.job.size, self._rng, packing=packing
            )
            schedulable = [
                v for v in drawn if self._is_schedulable(v, self._now_s)
            ]
            if len(schedulable) == len(drawn):
                break
            for view in drawn:
                if not self._is_schedulable(view, self._now_s):
                    self.withdraw_vm(view.vm)
            if schedulable:
                break
        preferred = [v for v in schedulable if v.vm not in entry.failed_vms]
        return preferred or schedulable

    def _claim(
        self, entry: JobEntry, pool: Pool, choice: VmView, candidate_count: int
    ) -> None:
        job = entry.job
        choice.free = choice.free - job.size
        choice.pending_claims[job.job_id] = job.size
        choice.batch_classes.append(job.job_class)
        choice.quarantine.on_claimed(job.job_id)
        self.pending_claims[job.job_id] = choice
        key = (pool.name, job.team)
        self._add_pending_millicores(key, job.size.millicores)
        if choice.quarantine.allows(self._now_s):
            self._capacity_index(pool.name).put(choice)
        else:
            self.withdraw_vm(choice.vm)
        reason = (
            f"{pool.placement} chose it from {candidate_count} candidates, "
            f"{choice.free.millicores} millicores left"
        )
        record = JobClaimed(
            job.job_id,
            entry.attempt + 1,
            choice.vm,
            choice.term,
            self._entry,
            reason,
        )
        self._actions.append(Append(record, urgent=job.urgent))
        text = f"claims {job.job_id} for {choice.vm}"
        fields: dict[str, str | int | float] = {
            "job": job.job_id,
            "vm": choice.vm,
            "attempt": entry.attempt + 1,
            "team": job.team,
            "policy": pool.placement,
            "vms_with_room": candidate_count,
            "vms_open": len(self._capacity_index(pool.name)),
            "free_millicores": choice.free.millicores,
            "free_memory_bytes": choice.free.memory_bytes,
        }
        self._actions.append(Explain("place", text, fields))

    def _add_pending_millicores(
        self, key: tuple[str, str], change: int
    ) -> None:
        left = self._pending_millicores.get(key, 0) + change
        if left:
            self._pending_millicores[key] = left
            return
        self._pending_millicores.pop(key, None)

    def _reject_impossible(self, entry: JobEntry, pool: Pool) -> None:
        known_vms = self.shapes.vm_count(pool.name)
        if known_vms < self._queue.ranks.led_vm_count(pool.name):
            return
        reason = self.shapes.misfit_reason(
            pool, entry.job.size, _reserved_size(pool)
        )
        if reason:
            self._reject(entry, reason)

    def _reject(self, entry: JobEntry, reason: str) -> None:
        job_id = entry.job.job_id
        self._pending_rejections.add(job_id)
        self._actions.append(Append(JobRejected(job_id, reason)))
        text = f"rejects {job_id}: {reason}"
        self._actions.append(Explain("place", text, {"job": job_id}))


def _reserved_size(pool: Pool | None) -> Size:
    if pool is None:
        return Size()
    return Size(pool.reserved_millicores, pool.reserved_memory_bytes, 0)
