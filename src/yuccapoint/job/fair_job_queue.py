"""Fair queue for the jobs of one pool and urgency."""

from __future__ import annotations

from collections import OrderedDict
import heapq
import itertools
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccapoint.job.claim_budget import ClaimBudget
    from yuccapoint.job.job_entry import JobEntry

# Jobs tried per customer, in order of arrival, until one is placed.
MAX_BACKFILL_JOBS = 8


class CustomerQueue:
    """A customer's jobs in order of arrival and its allocation so far."""

    __slots__ = ("allocated_millicores", "jobs")

    def __init__(self, allocated_millicores: int) -> None:
        self.allocated_millicores = allocated_millicores
        self.jobs: OrderedDict[str, JobEntry] = OrderedDict()


class FairJobQueue:
    """Orders jobs fairly between teams and between customers of a team.

    Teams are ordered by the processors that they use now, customers of a
    team by the processors allocated to them since they joined the queue.
    When a job cannot be placed, a bounded number of jobs behind it may be
    backfilled.

    Attributes
    ----------
    version : int
        Incremented with each job that is added.
    """

    def __init__(self) -> None:
        self.version = 0
        self._teams: dict[str, dict[str, CustomerQueue]] = {}
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def add(self, entry: JobEntry) -> None:
        """Enqueue a job, unless it is already queued."""
        customers = self._teams.setdefault(entry.job.team, {})
        queue = customers.get(entry.job.customer)
        if queue is None:
            allocated = [
                other.allocated_millicores for other in customers.values()
            ]
            queue = CustomerQueue(min(allocated, default=0))
            customers[entry.job.customer] = queue
        if entry.job.job_id in queue.jobs:
            return
        queue.jobs[entry.job.job_id] = entry
        self._count += 1
        self.version += 1

    def discard(self, entry: JobEntry) -> bool:
        """Remove a job; return whether it was queued here."""
        customers = self._teams.get(entry.job.team, {})
        queue = customers.get(entry.job.customer)
        if queue is None or queue.jobs.pop(entry.job.job_id, None) is None:
            return False
        self._count -= 1
        if not queue.jobs:
            del customers[entry.job.customer]
        if not customers:
            del self._teams[entry.job.team]
        return True

    def place_jobs(
        self,
        used_millicores: Callable[[str], int],
        place: Callable[[JobEntry], bool],
        budget: ClaimBudget,
    ) -> None:
        """Place jobs in fair order until the budget is exhausted.

        Parameters
        ----------
        used_millicores : callable
            Returns the processors that a team uses.
        place : callable
            Tries to place a job; returns whether it was placed.
        budget : ClaimBudget
            Limits the jobs scanned and placed.
        """
        order = [(used_millicores(team), team) for team in self._teams]
        heapq.heapify(order)
        while order and budget.remaining:
            used, team = order[0]
            placed = self._place_for_team(team, place, budget)
            if placed is None or team not in self._teams:
                heapq.heappop(order)
                continue
            used += placed.job.size.millicores
            heapq.heapreplace(order, (used, team))

    def _place_for_team(
        self,
        team: str,
        place: Callable[[JobEntry], bool],
        budget: ClaimBudget,
    ) -> JobEntry | None:
        customers = self._teams[team]
        queues = sorted(
            customers.values(), key=lambda queue: queue.allocated_millicores
        )
        for queue in queues:
            first = list(
                itertools.islice(queue.jobs.values(), 0, MAX_BACKFILL_JOBS)
            )
            for entry in first:
                if not budget.remaining:
                    return None
                budget.count_scan()
                if not place(entry):
                    continue
                budget.count_claim()
                queue.allocated_millicores += entry.job.size.millicores
                self.discard(entry)
                return entry
        return None
