"""Claims queued jobs for the VMs that an entry leads."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.job.actions import Append
from yuccapoint.job.actions import Explain
from yuccapoint.job.claim_budget import ClaimBudget
from yuccapoint.job.claim_queue import ClaimQueue
import yuccapoint.job.placement.interference_aware  # noqa: F401
import yuccapoint.job.placement.policies  # noqa: F401
from yuccapoint.job.placement.registry import PLACEMENT_POLICIES
from yuccapoint.job.placement.registry import TIGHT_POLICIES
from yuccapoint.job.pool_shapes import PoolShapes
from yuccapoint.job.records import JobClaimed
from yuccapoint.job.records import JobRejected
from yuccapoint.job.size import Size
from yuccapoint.job.vm_rooms import VmRooms

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from yuccapoint.job.actions import Action
    from yuccapoint.job.job_board import JobBoard
    from yuccapoint.job.job_entry import JobEntry
    from yuccapoint.job.vm_view import VmView
    from yuccapoint.version.pool import Pool

CLAIMS_PER_TICK = 400
LOOKS_PER_TICK = 1_200
MAX_UNDECIDED_CLAIMS = 4_000
URGENT_SHARE = 0.8
RETRY_S = 0.5
MAX_FULL_SIZES = 8
MAX_RETRIES = 3


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
        self.claiming: dict[str, VmView] = {}
        self.refused_claims = 0
        self._entry = entry
        self._board = board
        self._find_pool = find_pool
        self._rng = rng
        self._is_open = is_open
        self._queue = ClaimQueue(entry, board)
        self._rooms: dict[str, VmRooms] = {}
        self._pool_of: dict[str, str] = {}
        self._undecided_millicores: dict[tuple[str, str], int] = {}
        self._rejecting: set[str] = set()
        self._full: list[Size] = []
        self._tried: dict[str, tuple[int, int, int]] = {}
        self._retry_at_s = 0.0
        self._now_s = 0.0
        self._actions: list[Action] = []

    def offer_vm(self, view: VmView, now_s: float) -> None:
        """Count a VM's room anew and offer it, if it is open."""
        self.shapes.note(view.vm, view.pool, view.capacity)
        pool = self._find_pool(view.pool)
        view.count_free(self._missing(view), _reserve(pool))
        view.batch_classes = self._batch_classes(view)
        if not self._is_open(view, now_s):
            self.withdraw_vm(view.vm)
            return
        if self._pool_of.get(view.vm, view.pool) != view.pool:
            self.withdraw_vm(view.vm)
        self._pool_of[view.vm] = view.pool
        self._rooms_of(view.pool).put(view)

    def withdraw_vm(self, vm: str) -> None:
        """Offer a VM no longer."""
        pool = self._pool_of.pop(vm, None)
        if pool is not None:
            self._rooms_of(pool).drop(vm)

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
        self._queue.sync(self.claiming, now_s)
        retry = now_s >= self._retry_at_s
        if retry:
            self._retry_at_s = now_s + RETRY_S
        claims = MAX_UNDECIDED_CLAIMS - len(self.claiming)
        budget = ClaimBudget(min(CLAIMS_PER_TICK, claims), LOOKS_PER_TICK)
        now_ms = max(wall_ms, self._board.last_stamp_ms)
        pools = self._queue.pools()
        self._rng.shuffle(pools)
        for name in pools:
            if retry or self._tried.get(name) != self._versions(name):
                self._claim_pool(name, budget, now_ms)

    def on_decided(
        self, record: JobClaimed, refusal: str, now_s: float
    ) -> VmView | None:
        """Take the log's decision on a claim; give the VM if accepted."""
        view = self.claiming.pop(record.job_id, None)
        if view is None:
            return None
        size = view.claiming.pop(record.job_id)
        entry = self._board.jobs.get(record.job_id)
        if entry is not None:
            key = (entry.job.pool, entry.job.team)
            self._count_undecided(key, -size.millicores)
        if refusal:
            self.refused_claims += 1
            view.trust.on_over(record.job_id)
            self._queue.put_back(record.job_id)
        self.offer_vm(view, now_s)
        return None if refusal else view

    def on_rejected(self, job_id: str) -> None:
        """Take note that a rejection was read from the log."""
        self._rejecting.discard(job_id)

    def _missing(self, view: VmView) -> list[Size]:
        led = self._board.vms.get(view.vm)
        if led is None:
            return []
        missing = []
        for job_id in led.job_ids:
            entry = self._board.jobs[job_id]
            if view.attempts.get(job_id, 0) < entry.attempt:
                missing.append(entry.job.size)
        return missing

    def _batch_classes(self, view: VmView) -> list[str]:
        led = self._board.vms.get(view.vm)
        job_ids = set(view.claiming)
        if led is not None:
            job_ids.update(led.job_ids)
        entries = (self._board.jobs.get(job_id) for job_id in job_ids)
        return [entry.job.job_class for entry in entries if entry]

    def _rooms_of(self, pool: str) -> VmRooms:
        rooms = self._rooms.get(pool)
        if rooms is None:
            rooms = VmRooms()
            self._rooms[pool] = rooms
        return rooms

    def _versions(self, pool: str) -> tuple[int, int, int]:
        return (
            self._rooms_of(pool).version,
            self._queue.own(pool, urgent=True).version,
            self._queue.own(pool, urgent=False).version,
        )

    def _claim_pool(self, name: str, budget: ClaimBudget, now_ms: int) -> None:
        if not budget.left:
            return
        versions = self._versions(name)
        self._full.clear()
        kept = int(budget.claims * (1.0 - URGENT_SHARE))
        if not len(self._queue.own(name, urgent=False)):
            kept = 0
        budget.claims -= kept
        self._offer(name, budget, urgent=True)
        self._queue.offer_foreign((name, True), self._place, budget, now_ms)
        budget.claims += kept
        self._offer(name, budget, urgent=False)
        self._queue.offer_foreign((name, False), self._place, budget, now_ms)
        if budget.left:
            self._tried[name] = versions

    def _offer(self, name: str, budget: ClaimBudget, *, urgent: bool) -> None:
        lane = self._queue.own(name, urgent=urgent)
        if not len(lane):
            return

        def held(team: str) -> int:
            running = self._board.team_millicores.get(f"{name}/{team}", 0)
            return running + self._undecided_millicores.get((name, team), 0)

        lane.offer(held, self._place, budget)

    def _place(self, entry: JobEntry) -> bool:
        job = entry.job
        if job.job_id in self._rejecting:
            return False
        pool = self._find_pool(job.pool)
        if pool is None or not pool.batch:
            self._reject(entry, f"no pool {job.pool} runs batch jobs")
            return False
        if not self._quota_allows(entry, pool):
            return False
        if any(size.fits(job.size) for size in self._full):
            return False
        found = self._open_vms(entry, pool)
        choice = PLACEMENT_POLICIES[pool.placement](job, found, self._rng)
        if choice is None:
            if len(self._full) < MAX_FULL_SIZES:
                self._full.append(job.size)
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
        left -= self._undecided_millicores.get((pool.name, job.team), 0)
        return left >= job.size.millicores

    def _open_vms(self, entry: JobEntry, pool: Pool) -> list[VmView]:
        rooms = self._rooms_of(pool.name)
        tight = pool.placement in TIGHT_POLICIES
        for _ in range(MAX_RETRIES):
            found = rooms.candidates(entry.job.size, self._rng, tight=tight)
            is_open = [v for v in found if self._is_open(v, self._now_s)]
            if len(is_open) == len(found):
                break
            for view in found:
                if not self._is_open(view, self._now_s):
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
        choice.claiming[job.job_id] = job.size
        choice.batch_classes.append(job.job_class)
        choice.trust.on_claimed(job.job_id)
        self.claiming[job.job_id] = choice
        key = (pool.name, job.team)
        self._count_undecided(key, job.size.millicores)
        if choice.trust.allows(self._now_s):
            self._rooms_of(pool.name).put(choice)
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
            "vms_open": len(self._rooms_of(pool.name)),
            "free_millicores": choice.free.millicores,
            "free_memory_bytes": choice.free.memory_bytes,
        }
        self._actions.append(Explain("place", text, fields))

    def _count_undecided(self, key: tuple[str, str], change: int) -> None:
        left = self._undecided_millicores.get(key, 0) + change
        if left:
            self._undecided_millicores[key] = left
            return
        self._undecided_millicores.pop(key, None)

    def _reject_impossible(self, entry: JobEntry, pool: Pool) -> None:
        known = self.shapes.count(pool.name)
        if known < self._queue.ranks.led_vms(pool.name):
            return
        reason = self.shapes.obstacle(pool, entry.job.size, _reserve(pool))
        if reason:
            self._reject(entry, reason)

    def _reject(self, entry: JobEntry, reason: str) -> None:
        job_id = entry.job.job_id
        self._rejecting.add(job_id)
        self._actions.append(Append(JobRejected(job_id, reason)))
        text = f"{job_id} refused: {reason}"
        self._actions.append(Explain("place", text, {"job": job_id}))


def _reserve(pool: Pool | None) -> Size:
    if pool is None:
        return Size()
    return Size(pool.reserved_millicores, pool.reserved_memory_bytes, 0)
