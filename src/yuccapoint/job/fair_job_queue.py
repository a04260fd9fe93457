"""Queued jobs of one pool and urgency, in fair order."""

from __future__ import annotations

from collections import OrderedDict
import heapq
import itertools
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccapoint.job.claim_budget import ClaimBudget
    from yuccapoint.job.job_entry import JobEntry

MAX_BACKFILL_JOBS = 8


class CustomerQueue:
    """A customer's jobs in order of arrival, and what it was given."""

    __slots__ = ("allocated_millicores", "jobs")

    def __init__(self, allocated_millicores: int) -> None:
        self.allocated_millicores = allocated_millicores
        self.jobs: OrderedDict[str, JobEntry] = OrderedDict()


class FairJobQueue:
    """Offers jobs of the team that holds the least, customer by customer.

    Teams are ordered by the processors that they hold now, customers of
    one team by what they were given since they began to wait. A job that
    finds no room lets a bounded number of jobs behind it go first.

    Attributes
    ----------
    version : int
        Rises with each job that joins.
    """

    def __init__(self) -> None:
        self.version = 0
        self._teams: dict[str, dict[str, CustomerQueue]] = {}
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def add(self, entry: JobEntry) -> None:
        """Let a job wait."""
        customers = self._teams.setdefault(entry.job.team, {})
        queue = customers.get(entry.job.customer)
        if queue is None:
            given = [
                known.allocated_millicores for known in customers.values()
            ]
            queue = CustomerQueue(min(given, default=0))
            customers[entry.job.customer] = queue
        if entry.job.job_id in queue.jobs:
            return
        queue.jobs[entry.job.job_id] = entry
        self._count += 1
        self.version += 1

    def discard(self, entry: JobEntry) -> bool:
        """Take a job out; False if it does not wait here."""
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
        held_millicores: Callable[[str], int],
        place: Callable[[JobEntry], bool],
        budget: ClaimBudget,
    ) -> None:
        """Offer jobs in fair order until the budget is spent.

        Parameters
        ----------
        held_millicores : callable
            Gives the processors that a team holds.
        place : callable
            Tells whether the job was placed.
        budget : ClaimBudget
            Bounds the work.
        """
        order = [(held_millicores(team), team) for team in self._teams]
        heapq.heapify(order)
        while order and budget.remaining:
            held, team = order[0]
            placed = self._place_for_team(team, place, budget)
            if placed is None or team not in self._teams:
                heapq.heappop(order)
                continue
            held += placed.job.size.millicores
            heapq.heapreplace(order, (held, team))

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
