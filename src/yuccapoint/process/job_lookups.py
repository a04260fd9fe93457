"""Lookups of callers' jobs, here and at entries that can read the store."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from yuccapoint.cell.cell_messages import JobLookup
from yuccapoint.cell.cell_messages import JobLookupAnswer
from yuccapoint.cell.cell_messages import LookupResult
from yuccapoint.cell.occurrence_state import Outcome
from yuccapoint.exceptions import UnreachableError
from yuccapoint.exceptions import YuccapointError
from yuccapoint.process.peer_calls import PeerCalls

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccapoint.cell.cell_view import CellView
    from yuccapoint.cell.cell_view import JobView
    from yuccapoint.cell.queue_address import QueueAddress
    from yuccapoint.connection.control_channel import ControlChannel
    from yuccapoint.process.cell_tail import CellTail
    from yuccapoint.process.process_logger import ProcessLogger
    from yuccapoint.version.queue_table import QueueRoute

# Peers are asked too if a read of the store takes longer, in seconds.
PEERS_AFTER_S = 0.4
# A peer has the job in its view, or reads the store for it once.
PEER_TIMEOUT_S = 0.9
MAX_PEERS_ASKED = 2


class JobLookups:
    """Finds the states of jobs.

    An entry that can't read the store, or has not loaded it yet, asks other
    entries. What it knows itself may then be old, except for an end.

    Parameters
    ----------
    view : CellView
        Latest known records of the cell.
    tail : CellTail
        Keeps the view up to date.
    control_channel : ControlChannel
        Carries questions and answers.
    list_peers : callable
        Returns the addresses of other entries in order of preference.
    logger : ProcessLogger
        Receives the log lines.
    """

    def __init__(
        self,
        view: CellView,
        tail: CellTail,
        control_channel: ControlChannel,
        list_peers: Callable[[], list[str]],
        logger: ProcessLogger,
    ) -> None:
        self._view = view
        self._tail = tail
        self._control_channel = control_channel
        self._list_peers = list_peers
        self._logger = logger
        self._calls: PeerCalls[JobLookupAnswer] = PeerCalls(control_channel)
        self._tasks: set[asyncio.Task[None]] = set()

    def find(self, route: QueueRoute, job_id: str) -> JobView | None:
        """Return a job of the queue on a route from the view."""
        return self._find(route.address, route.rules.route, job_id)

    def _find(
        self, address: QueueAddress | None, name: str, job_id: str
    ) -> JobView | None:
        return self._view.find_of_queue(job_id, address, name)

    async def find_state(
        self, route: QueueRoute, job_id: str, deadline_s: float
    ) -> str | None:
        """Return the state of a job; None if the queue has no such job.

        Parameters
        ----------
        route : QueueRoute
            Route that the job is asked for on.
        job_id : str
            The job.
        deadline_s : float
            Monotonic time in seconds at which the caller gives up.

        Raises
        ------
        YuccapointError
            Neither this entry nor its peers can tell.
        """
        job = self.find(route, job_id)
        if job is not None and (self._tail.up_to_date or _has_ended(job)):
            return _state_of(job)
        answer = await self._ask_store_and_peers(route, job_id, deadline_s)
        if answer.result is LookupResult.KNOWN:
            return answer.state
        if answer.result is LookupResult.ABSENT:
            return None
        job = self.find(route, job_id)
        if job is not None:
            return _state_of(job)
        raise UnreachableError("neither the store nor a peer answers in time")

    async def _ask_store_and_peers(
        self, route: QueueRoute, job_id: str, deadline_s: float
    ) -> JobLookupAnswer:
        """Return the first answer that is known or absent."""
        ways = [
            self._look_up(0, route.address, route.rules.route, job_id),
            self._ask_peers(route, job_id, deadline_s),
        ]
        # A store that answered lately is the better source.
        overlap_s = PEERS_AFTER_S if self._tail.up_to_date else 0.0
        running: set[asyncio.Task[JobLookupAnswer]] = set()
        try:
            while ways or running:
                left_s = max(0.0, deadline_s - time.monotonic())
                if ways:
                    running.add(asyncio.ensure_future(ways.pop(0)))
                    left_s = min(left_s, overlap_s) if ways else left_s
                done, running = await asyncio.wait(
                    running,
                    timeout=left_s,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                for task in done:
                    if task.result().result is not LookupResult.UNREADABLE:
                        return task.result()
                if not done and not ways:
                    break
        finally:
            for way in ways:
                way.close()
            for task in running:
                task.cancel()
        return JobLookupAnswer(0, LookupResult.UNREADABLE)

    async def _look_up(
        self,
        number: int,
        address: QueueAddress | None,
        name: str,
        job_id: str,
    ) -> JobLookupAnswer:
        """Return what the store says of a job."""
        job = self._find(address, name, job_id)
        if job is None or not self._tail.up_to_date:
            try:
                # Another entry may have accepted the job just now.
                await self._tail.catch_up()
            except YuccapointError as error:
                self._logger.log(
                    "job", "state lookup failed", job=job_id, error=str(error)
                )
                return JobLookupAnswer(number, LookupResult.UNREADABLE)
            job = self._find(address, name, job_id)
        if job is None:
            return JobLookupAnswer(number, LookupResult.ABSENT)
        return JobLookupAnswer(number, LookupResult.KNOWN, _state_of(job))

    async def _ask_peers(
        self, route: QueueRoute, job_id: str, deadline_s: float
    ) -> JobLookupAnswer:
        address = self._control_channel.address
        for peer in self._list_peers()[:MAX_PEERS_ASKED]:
            left_s = min(PEER_TIMEOUT_S, deadline_s - time.monotonic())
            if left_s <= 0:
                break
            answer = await self._calls.call(
                peer,
                lambda number: JobLookup(
                    address, number, route.rules.route, job_id, route.address
                ),
                left_s,
            )
            result = LookupResult.UNREADABLE
            if answer is not None:
                result = answer.result
            self._logger.log(
                "job",
                "peer asked for a job",
                job=job_id,
                peer=peer,
                result="no answer" if answer is None else result.value,
            )
            if answer is not None and result is not LookupResult.UNREADABLE:
                return answer
        return JobLookupAnswer(0, LookupResult.UNREADABLE)

    def on_lookup(self, lookup: JobLookup) -> None:
        """Answer a peer's question."""
        task = asyncio.ensure_future(self._serve(lookup))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, lookup: JobLookup) -> None:
        number = lookup.number
        queue = (lookup.queue_address, lookup.route)
        answer = await self._look_up(number, *queue, lookup.job_id)
        job = self._find(*queue, lookup.job_id)
        if answer.result is LookupResult.UNREADABLE and job is not None:
            # An old state is better than none.
            answer = JobLookupAnswer(
                number, LookupResult.KNOWN, _state_of(job)
            )
        self._control_channel.send(lookup.address, answer)

    def on_answer(self, answer: JobLookupAnswer) -> None:
        """Take a peer's answer."""
        self._calls.on_answer(answer.number, answer)


def _has_ended(job: JobView) -> bool:
    return job.outcome is not Outcome.OPEN


def _state_of(job: JobView) -> str:
    if job.outcome is not Outcome.OPEN:
        return job.outcome.value
    if job.has_started or job.has_claims:
        return "running"
    return "pending"
