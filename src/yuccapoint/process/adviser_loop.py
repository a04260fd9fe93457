"""Queries of a cell's leader to the adviser."""

from __future__ import annotations

import asyncio
from typing import Protocol
from typing import TYPE_CHECKING

from yuccapoint.cell.ticket_cache import step_id
from yuccapoint.exceptions import YuccapointError
from yuccapoint.process.steady_clock import steady_s
from yuccapoint.process.steady_clock import wall_ms

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccapoint.cell.cell_leader import CellLeader
    from yuccapoint.process.process_logger import ProcessLogger

# Pause while there is no query for the adviser, in seconds.
ADVICE_PAUSE_S = 0.1


class AdviserPort(Protocol):
    """Client interface of the service that permits workers for steps."""

    async def ask(self, step: str, worker_ids: list[str]) -> dict[str, str]:
        """Return a ticket for the id of each worker that may run a step."""


class AdviserLoop:
    """Sends the leader's queries to the adviser, one at a time.

    Parameters
    ----------
    find_leader : callable
        Returns the leader, or None while another entry leads.
    wake : callable
        Called after each answer, as it may allow a start.
    logger : ProcessLogger
        Receives the log lines.

    Attributes
    ----------
    adviser : AdviserPort or None
        Queried for steps of queues that have an adviser.
    """

    def __init__(
        self,
        find_leader: Callable[[], CellLeader | None],
        wake: Callable[[], None],
        logger: ProcessLogger,
    ) -> None:
        self.adviser: AdviserPort | None = None
        self._find_leader = find_leader
        self._wake = wake
        self._logger = logger

    async def run(self) -> None:
        """Send queries until cancelled."""
        while True:
            leader, adviser = self._find_leader(), self.adviser
            query = None
            now_s = steady_s()
            if leader is not None and adviser is not None:
                query = leader.adviser_queries.next_query(now_s, wall_ms())
            if leader is None or adviser is None or query is None:
                await asyncio.sleep(ADVICE_PAUSE_S)
                continue
            step, instances = query
            tickets = None
            try:
                tickets = await adviser.ask(
                    step_id(step),
                    [instance.worker_id for instance in instances],
                )
            except YuccapointError as error:
                self._logger.log(
                    "place", "adviser query failed", error=str(error)
                )
                await asyncio.sleep(ADVICE_PAUSE_S)
            leader.adviser_queries.on_advice(step, instances, tickets, now_s)
            self._wake()
