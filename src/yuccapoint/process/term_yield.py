"""Keeps a leader that can't do its work from holding on to its term."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.cell.unread_renewals import MAX_UNREAD_S

if TYPE_CHECKING:
    from yuccapoint.cell.cell_leader import CellLeader
    from yuccapoint.cell.cell_view import CellView
    from yuccapoint.cell.leader_election import LeaderElection
    from yuccapoint.process.cell_tail import CellTail
    from yuccapoint.process.leadership_renewals import LeadershipRenewals
    from yuccapoint.process.metrics import Metrics
    from yuccapoint.process.process_logger import ProcessLogger


class TermYield:
    """Lets an entry that can lead the cell take over, if there is one.

    Renewals are appends: nobody would take over from a leader that reads
    no cancellation and no new job, or that no report reaches. It leads on
    until the next term, as the others may be no better.

    Parameters
    ----------
    election : LeaderElection
        Decides who leads.
    renewals : LeadershipRenewals
        Builds the renewals.
    tail : CellTail
        Reads the store.
    view : CellView
        What it has read.
    logger : ProcessLogger
        Receives the log lines.
    metrics : Metrics
        Metrics of the process.
    """

    __slots__ = (
        "_election",
        "_logger",
        "_metrics",
        "_renewals",
        "_tail",
        "_view",
    )

    def __init__(
        self,
        election: LeaderElection,
        renewals: LeadershipRenewals,
        tail: CellTail,
        view: CellView,
        logger: ProcessLogger,
        metrics: Metrics,
    ) -> None:
        self._election = election
        self._renewals = renewals
        self._tail = tail
        self._view = view
        self._logger = logger
        self._metrics = metrics

    def yield_or_keep(self, leader: CellLeader, now_s: float) -> None:
        """Yield a term or keep it, by the renewals and reports that came.

        Parameters
        ----------
        leader : CellLeader
            Leader of the term.
        now_s : float
            Steady time in seconds.
        """
        unread_s = self._election.unread_renewals.lag_s(now_s)
        is_unheard = self._election.replacement.is_in_vain(leader, now_s)
        yields = unread_s > MAX_UNREAD_S or is_unheard
        if yields:
            self._election.yields = True
        elif self._renewals.is_kept_by(self._view.leadership):
            self._election.yields = False
        if yields == self._renewals.yields:
            return
        self._renewals.yields = yields
        self._metrics.count("yielded_terms", amount=int(yields))
        text = "own renewals are read back; keeping the term"
        if is_unheard:
            text = "few VMs report to this entry; any entry may take over"
        elif yields:
            text = "own renewals are not read back; any entry may take over"
        self._logger.log(
            "leader",
            text,
            term=leader.term,
            renewal=self._renewals.renewal,
            unread_ms=int(unread_s * 1_000),
            at_end=int(self._tail.at_end),
        )
