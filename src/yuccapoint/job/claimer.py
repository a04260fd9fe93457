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
MAX_PENDING_CLAIMS = 4_000
URGENT_CLAIM_SHARE = 0.8
RETRY_INTERVAL_S = 0.5
MAX_UNPLACEABLE_SIZES = 8
MAX_CANDIDATE_DRAWS = 3


class Claimer:
    """Chooses jobs in fair order and VMs by the pool's policy.

    Parameters
    ----------
    entry : str
        This entry.
    board : JobBoard
        The state that the log's prefix gives.
    find_pool : callable
        Gives a pool by name.
    rng : random.Random
        Source of random choices.
    is_open : callable
        Tells whether a VM may be given a job at a time.
    """

    def __init__(
        self,
        entry: str,
        board: JobBoard,
        find_pool: Callable[[str], Pool | None],
        rng: random.Random,
        is_open: Callable[[VmView, float], bool],
    ) -> None:
        self.shapes = PoolShapes()
        self.pending_claims: dict[str, VmView] = {}
        self.refused_claims = 0
        self._entry = entry
        self._board = board
        self._find_pool = find_pool
        self._rng = rng
        self._is_schedulable = is_open
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
        """Count a VM's room anew and offer it, if it is open."""
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
        """Offer a VM no longer."""
        pool = self._pool_by_vm.pop(vm, None)
        if pool is not None:
            self._capacity_index(pool).remove(vm)

    def forget_vm(self, vm: str) -> None:
        """Forget a VM that is gone for long."""
        self.withdraw_vm(vm)
        self.shapes.forget(vm)

    def tick(self, now_s: float, wall_ms: int, actions: list[Action]) -> None:
        """Claim what there is room for.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.
        wall_ms : int
            Wall-clock time, against the log's stamps.
        actions : list of Action
            Where the claims go.
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
        """Take the log's decision on a claim; give the VM if accepted."""
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
        """Take note that a rejection was read from the log."""
        self._pending_rejections.discard(job_id)

    def _unreported_sizes(self, view: VmView) -> list[Size]:
        led = self._board.vms.get(view.vm)
        if led is None:
            return []
        missing = []
        for job_id in led.job_ids:
            entry = self._board.jobs[job_id]
            if view.reported_attempts.get(job_id, 0) < entry.attempt:
                missing.append(entry.job.size)
        return missing

    def _batch_classes(self, view: VmView) -> list[str]:
        led = self._board.vms.get(view.vm)
        job_ids = set(view.pending_claims)
        if led is not None:
            job_ids.update(led.job_ids)
        entries = (self._board.jobs.get(job_id) for job_id in job_ids)
        return [entry.job.job_class for entry in entries if entry]

    def _capacity_index(self, pool: str) -> FreeCapacityIndex:
        rooms = self._capacity_indexes.get(pool)
        if rooms is None:
            rooms = FreeCapacityIndex()
            self._capacity_indexes[pool] = rooms
        return rooms

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
        kept = int(budget.claims * (1.0 - URGENT_CLAIM_SHARE))
        if not len(self._queue.own_queue(name, urgent=False)):
            kept = 0
        budget.claims -= kept
        self._place_own(name, budget, urgent=True)
        self._queue.place_foreign(
            (name, True), self._try_claim, budget, now_ms
        )
        budget.claims += kept
        self._place_own(name, budget, urgent=False)
        self._queue.place_foreign(
            (name, False), self._try_claim, budget, now_ms
        )
        if budget.remaining:
            self._tried_versions[name] = versions

    def _place_own(
        self, name: str, budget: ClaimBudget, *, urgent: bool
    ) -> None:
        lane = self._queue.own_queue(name, urgent=urgent)
        if not len(lane):
            return

        def held(team: str) -> int:
            running = self._board.team_millicores.get(f"{name}/{team}", 0)
            return running + self._pending_millicores.get((name, team), 0)

        lane.place_jobs(held, self._try_claim, budget)

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
        found = self._candidate_vms(entry, pool)
        choice = PLACEMENT_POLICIES[pool.placement](job, found, self._rng)
        if choice is None:
            if len(self._unplaceable_sizes) < MAX_UNPLACEABLE_SIZES:
                self._unplaceable_sizes.append(job.size)
            self._reject_impossible(entry, pool)
            return False
        self._claim(entry, pool, choice, len(found))
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
                f"millicores, the job asks for {job.size.millicores}; "
                "raise the quota or ask for less",
            )
            return False
        left = self._board.quota_left(pool, job.team)
        left -= self._pending_millicores.get((pool.name, job.team), 0)
        return left >= job.size.millicores

    def _candidate_vms(self, entry: JobEntry, pool: Pool) -> list[VmView]:
        rooms = self._capacity_index(pool.name)
        tight = pool.placement in PACKING_POLICIES
        for _ in range(MAX_CANDIDATE_DRAWS):
            found = rooms.candidates(entry.job.size, self._rng, tight=tight)
            is_open = [
                v for v in found if self._is_schedulable(v, self._now_s)
            ]
            if len(is_open) == len(found):
                break
            for view in found:
                if not self._is_schedulable(view, self._now_s):
                    self.withdraw_vm(view.vm)
            if is_open:
                break
        fresh = [v for v in is_open if v.vm not in entry.failed_vms]
        return fresh or is_open

    def _claim(
        self, entry: JobEntry, pool: Pool, choice: VmView, with_room: int
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
            f"{pool.placement} chose it of {with_room} VMs with room, "
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
        text = f"{job.job_id} to {choice.vm}"
        fields: dict[str, str | int | float] = {
            "job": job.job_id,
            "vm": choice.vm,
            "attempt": entry.attempt + 1,
            "team": job.team,
            "policy": pool.placement,
            "vms_with_room": with_room,
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
        known = self.shapes.vm_count(pool.name)
        if known < self._queue.ranks.led_vm_count(pool.name):
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
        text = f"{job_id} refused: {reason}"
        self._actions.append(Explain("place", text, {"job": job_id}))


def _reserved_size(pool: Pool | None) -> Size:
    if pool is None:
        return Size()
    return Size(pool.reserved_millicores, pool.reserved_memory_bytes, 0)
