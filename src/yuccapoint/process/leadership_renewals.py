"""Leadership records that an entry writes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.cell import cell_records
from yuccapoint.cell import lease_bounds
from yuccapoint.cell.cell_records import Leadership

if TYPE_CHECKING:
    from yuccapoint.cell.cell_leader import CellLeader
    from yuccapoint.cell.commit_batch import CommitBatch

StoreItem = tuple[str, bytes | None]

# Interval of the checks whether VMs fell silent or report again; they visit
# all VMs.
CHECK_INTERVAL_S = 0.1
# While a record takes longer to be stored, no VM is named: one that reports
# again would wait for two of them without a lease.
MAX_STORE_DELAY_S = 0.5


class LeadershipRenewals:
    """Builds the records of takeovers, renewals and resignations.

    Parameters
    ----------
    entry : str
        Name of the entry.
    incarnation : int
        Start time of the entry in nanoseconds.

    Attributes
    ----------
    renewal : int
        Number of the last renewal of the term.
    yields : bool
        Whether renewals let any other entry take over at once.
    """

    __slots__ = (
        "_checked_at_s",
        "_entry",
        "_incarnation",
        "_renewed_at_s",
        "_store_is_slow",
        "renewal",
        "yields",
    )

    def __init__(self, entry: str, incarnation: int) -> None:
        self._entry = entry
        self._incarnation = incarnation
        self.renewal = 0
        self.yields = False
        self._renewed_at_s = 0.0
        self._checked_at_s = 0.0
        self._store_is_slow = False

    def begin_term(self) -> None:
        """Begin the renewals of a term.

        The first one is due at once, as it names the VMs that the former
        leader named as silent.
        """
        self.renewal = 0
        self.yields = False
        self._renewed_at_s = 0.0

    def build_takeover(self, term: int) -> StoreItem:
        """Return the record of an attempt to lead a term."""
        return self._item(
            Leadership(term, self._entry, self._incarnation, silent_vms=())
        )

    def build_resignation(self, leader: CellLeader, now_s: float) -> StoreItem:
        """Return the record of a planned end.

        Parameters
        ----------
        leader : CellLeader
            Leader of the term, which grants no more leases.
        now_s : float
            Steady time in seconds.
        """
        return self._item(
            Leadership(
                leader.term,
                self._entry,
                self._incarnation,
                self.renewal,
                resigned=True,
                silent_vms=leader.silent_vms.collect(
                    leader.vms.values(), now_s
                ),
            )
        )

    def is_kept_by(self, newest: Leadership | None) -> bool:
        """Return whether no renewal that lets others take over is unread.

        Parameters
        ----------
        newest : Leadership or None
            Newest record that was read.
        """
        return (
            newest is not None
            and not newest.resigned
            and newest.renewal == self.renewal
        )

    def add_due(
        self, batch: CommitBatch, leader: CellLeader, now_s: float
    ) -> None:
        """Add a renewal to a batch if one is due.

        Parameters
        ----------
        batch : CommitBatch
            Batch that is written now.
        leader : CellLeader
            Leader of the term.
        now_s : float
            Steady time in seconds.
        """
        if not self._is_due(batch, leader, now_s):
            return
        self.renewal += 1
        self._renewed_at_s = now_s
        batch.silent_vms = ()
        if not self._store_is_slow:
            batch.silent_vms = leader.silent_vms.collect(
                leader.vms.values(), now_s
            )
        batch.records.append(
            self._item(
                Leadership(
                    leader.term,
                    self._entry,
                    self._incarnation,
                    self.renewal,
                    resigned=self.yields,
                    silent_vms=batch.silent_vms,
                )
            )
        )

    def on_stored(self, sent_at_s: float, now_s: float) -> None:
        """Note how long the store took for a batch.

        Parameters
        ----------
        sent_at_s, now_s : float
            When it was sent, and steady time in seconds.
        """
        self._store_is_slow = now_s - sent_at_s > MAX_STORE_DELAY_S

    def _is_due(
        self, batch: CommitBatch, leader: CellLeader, now_s: float
    ) -> bool:
        since_s = now_s - self._renewed_at_s
        if since_s < lease_bounds.MIN_RENEW_INTERVAL_S:
            return False
        # The right to grant leases counts from the renewals, and a batch may
        # take long to be stored.
        if batch.records or since_s >= lease_bounds.RENEW_INTERVAL_S:
            return True
        if self._store_is_slow:
            return False
        if now_s - self._checked_at_s < CHECK_INTERVAL_S:
            return False
        self._checked_at_s = now_s
        return leader.silent_vms.has_changed(leader.vms.values(), now_s)

    def _item(self, record: Leadership) -> StoreItem:
        return cell_records.LEADERSHIP, cell_records.encode(record)
