"""Begin and end of an entry's terms as the leader."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from yuccapoint.exceptions import YuccapointError
from yuccapoint.process.cell_writer import CellWriter
from yuccapoint.process.steady_clock import steady_s

if TYPE_CHECKING:
    from yuccapoint.cell.cell_leader import CellLeader
    from yuccapoint.cell.leader_election import LeaderElection
    from yuccapoint.connection.cell_store import CellStore
    from yuccapoint.process.leadership_renewals import LeadershipRenewals
    from yuccapoint.process.process_logger import ProcessLogger

# Minimum time between two takeover attempts, in seconds.
TAKEOVER_RETRY_S = 0.5
# Longest time that a resignation waits to be stored, and that a takeover
# waits for the store, in seconds.
RESIGN_TIMEOUT_S = 1.5
TAKEOVER_TIMEOUT_S = 1.5


class TermChanges:
    """Writes the records that begin and end terms.

    Parameters
    ----------
    store : CellStore
        Records of the cell.
    election : LeaderElection
        Decides who leads.
    renewals : LeadershipRenewals
        Builds the records.
    logger : ProcessLogger
        Receives the log lines.
    """

    def __init__(
        self,
        store: CellStore,
        election: LeaderElection,
        renewals: LeadershipRenewals,
        logger: ProcessLogger,
    ) -> None:
        self._store = store
        self._election = election
        self._renewals = renewals
        self._logger = logger
        self._takeover_tried_at_s = 0.0

    async def take_over(self) -> None:
        """Write a record of the next term, unless one was just written.

        The next read shows whether this entry was first with the term.
        """
        now_s = steady_s()
        if now_s - self._takeover_tried_at_s < TAKEOVER_RETRY_S:
            return
        self._takeover_tried_at_s = now_s
        term = self._election.term + 1
        self._logger.log(
            "leader",
            "attempting takeover",
            term=term,
            why=self._election.takeover_reason(now_s),
        )
        self._election.on_takeover_sent(term, now_s)
        writer = CellWriter(self._store, term, self._logger)
        try:
            async with asyncio.timeout(TAKEOVER_TIMEOUT_S):
                await writer.append([self._renewals.build_takeover(term)])
        except (YuccapointError, TimeoutError) as error:
            self._logger.log("leader", "takeover failed", error=repr(error))
            return
        self._election.on_takeover_answered()

    async def resign(
        self,
        leader: CellLeader,
        writer: CellWriter,
        last_append: asyncio.Task[None] | None,
    ) -> bool:
        """Write a resignation after the last append of the term.

        Returns
        -------
        bool
            Whether it was stored; otherwise another entry takes over once
            the renewals stop.
        """
        try:
            async with asyncio.timeout(RESIGN_TIMEOUT_S):
                if last_append is not None:
                    # It is cancelled if another entry leads meanwhile.
                    await asyncio.wait({last_append})
                resignation = self._renewals.build_resignation(
                    leader, steady_s()
                )
                await writer.append([resignation])
        except (YuccapointError, TimeoutError) as error:
            self._logger.log("leader", "resignation failed", error=repr(error))
            return False
        return True
