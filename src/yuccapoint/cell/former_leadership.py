"""The last record of the leader before the present one."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.cell.former_grants import FormerGrants

if TYPE_CHECKING:
    from yuccapoint.cell.cell_records import Leadership


class FormerLeadership:
    """Tracks leadership records in the order in which they are stored.

    The store refuses records of a former term once one of a later term is
    stored, so that the last one that was read before bounds the leases.
    """

    __slots__ = ("_former", "_former_read_at_s", "_newest", "_read_at_s")

    def __init__(self) -> None:
        self._newest: Leadership | None = None
        self._read_at_s = 0.0
        self._former: Leadership | None = None
        self._former_read_at_s = 0.0

    def on_record(
        self, record: Leadership, now_s: float, *, follows_last: bool
    ) -> None:
        """Note a leadership record.

        Parameters
        ----------
        record : Leadership
            The record.
        now_s : float
            Steady time, counted through suspension, in seconds.
        follows_last : bool
            Whether all records since the last one have been read.
        """
        newest = self._newest
        if newest is None or record.term > newest.term:
            self._former = newest if follows_last else None
            self._former_read_at_s = self._read_at_s
        elif not _is_renewal(record, newest):
            return
        self._newest = record
        self._read_at_s = now_s

    def grants(self, now_s: float) -> FormerGrants:
        """Return the bounds of the leases granted before the newest term.

        Parameters
        ----------
        now_s : float
            Steady time in seconds. Leases are counted from it if the last
            record of the former leader is not known.
        """
        former = self._former
        if former is None or former.silent_vms is None:
            return FormerGrants(now_s)
        return FormerGrants(self._former_read_at_s, former.silent_vms)


def _is_renewal(record: Leadership, newest: Leadership) -> bool:
    """Return whether a record is of the leader of the newest term.

    Two entries may write the same term; the first record is valid.
    """
    return (record.term, record.entry, record.incarnation) == (
        newest.term,
        newest.entry,
        newest.incarnation,
    )
