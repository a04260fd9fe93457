"""Takeover of a cell's leadership and the right to grant leases."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.cell import lease_bounds
from yuccapoint.cell.entry_capacity import EntryCapacity
from yuccapoint.cell.unread_renewals import UnreadRenewals

if TYPE_CHECKING:
    from collections.abc import Mapping

    from yuccapoint.cell.cell_records import EntryMember
    from yuccapoint.cell.cell_records import Leadership

# Spread of the first takeover attempts, so that entries that start together
# do not all write.
MAX_STAGGER_S = 0.25
# An entry waits for this long for one that exceeds it to take over first; a
# takeover is stored and read in less.
OUTRANKED_DELAY_S = 0.4
# An entry replaces a leader that it exceeds after this time in which it has
# read the store and nobody else has taken over, plus its share of the spread.
REPLACE_AFTER_S = 1.5
REPLACE_SPREAD_S = 1.5


class LeaderElection:
    """Follows the leader's renewals and decides on takeovers.

    Parameters
    ----------
    entry : str
        Name of this entry.
    incarnation : int
        Start time of this entry in nanoseconds.
    stagger : float
        Position of this entry, 0 to 1, in the spread of takeover attempts.

    Attributes
    ----------
    unread_renewals : UnreadRenewals
        Stored renewals of this entry that it has not read back.
    yields : bool
        Whether this entry, as the leader, lets any other take over at once.
        It leads on until then.
    capacity : EntryCapacity
        What this entry can carry.
    """

    def __init__(self, entry: str, incarnation: int, stagger: float) -> None:
        self.entry = entry
        self.incarnation = incarnation
        self.leader_lease_until_s = 0.0
        self._stagger = stagger
        self.capacity = EntryCapacity()
        self._entries: Mapping[str, EntryMember] = {}
        self._newest: Leadership | None = None
        self._changed_at_s = 0.0
        self._term_read_at_s = 0.0
        self._read_at_s = 0.0
        self._reading_since_s: float | None = None
        self._fenced_term = 0
        self._tried_term = 0
        self._tried_at_s = 0.0
        self.unread_renewals = UnreadRenewals()
        self.yields = False

    def on_records_read(
        self, leader: Leadership | None, now_s: float, *, at_end: bool = True
    ) -> None:
        """Record the newest leadership after a successful read.

        Parameters
        ----------
        leader : Leadership or None
            Newest record in the store.
        now_s : float
            Steady time, counted through suspension, in seconds.
        at_end : bool
            Whether no later record was in the store.
        """
        # After a gap between reads, missed renewals say nothing.
        gap_s = now_s - self._read_at_s
        if self._reading_since_s is None or gap_s > lease_bounds.STALE_AFTER_S:
            self._reading_since_s = now_s
            self._changed_at_s = now_s
        if at_end:
            self._read_at_s = now_s
        if leader is not None and leader.term != self.term:
            self._term_read_at_s = now_s
        if leader != self._newest:
            self._newest = leader
            self._changed_at_s = now_s
        if leader is not None:
            self.unread_renewals.on_read(leader.term, leader.renewal)

    def on_entries_read(self, entries: Mapping[str, EntryMember]) -> None:
        """Follow the entries that are registered, by name."""
        self._entries = entries

    def leads(self) -> bool:
        """Return whether this entry leads according to the store."""
        newest = self._newest
        if newest is None or newest.term <= self._fenced_term:
            return False
        if newest.resigned and not self.yields:
            return False
        return (newest.entry, newest.incarnation) == (
            self.entry,
            self.incarnation,
        )

    @property
    def term(self) -> int:
        """The newest term."""
        return 0 if self._newest is None else self._newest.term

    def should_take_over(self, now_s: float) -> bool:
        """Return whether to write a record of the next term now."""
        return bool(self.takeover_reason(now_s))

    def takeover_reason(self, now_s: float) -> str:
        """Return why to write a record of the next term now, or nothing."""
        if self._reading_since_s is None or self.leads():
            return ""
        # A read that hangs hides the leader's renewals.
        if now_s - self._read_at_s > lease_bounds.MAX_READ_AGE_S:
            return ""
        newest = self._newest
        silent_s = now_s - self._changed_at_s - self._patience_s()
        if newest is None:
            return "no entry has led" if silent_s >= 0.0 else ""
        if newest.resigned:
            return "the leader resigned or yields" if silent_s >= 0.0 else ""
        if newest.entry == self.entry and newest.term > self._fenced_term:
            # The leader was a former incarnation of this entry, now gone.
            return "a former process led" if silent_s >= 0.0 else ""
        if silent_s >= lease_bounds.LEADER_TIMEOUT_S:
            return "the leader is silent"
        if self._should_replace(newest, self._reading_since_s, now_s):
            return "this entry can carry more than the leader"
        return ""

    def _patience_s(self) -> float:
        """Return how long other entries may take over first, in seconds."""
        patience_s = self._stagger * MAX_STAGGER_S
        if any(
            member.capacity.exceeds(self.capacity)
            for member in self._entries.values()
        ):
            patience_s += OUTRANKED_DELAY_S
        return patience_s

    def _should_replace(
        self, newest: Leadership, reading_since_s: float, now_s: float
    ) -> bool:
        """Return whether this entry can carry much more than the leader."""
        since_s = max(reading_since_s, self._term_read_at_s)
        wait_s = REPLACE_AFTER_S + self._stagger * REPLACE_SPREAD_S
        if now_s - since_s < wait_s:
            return False
        member = self._entries.get(newest.entry)
        return member is not None and self.capacity.exceeds(member.capacity)

    def on_fenced(self, term: int) -> None:
        """Note that the store refuses further records of a term."""
        self._fenced_term = max(self._fenced_term, term)
        self.leader_lease_until_s = 0.0

    def on_takeover_sent(self, term: int, now_s: float) -> None:
        """Note an attempt to take over a term."""
        if term != self._tried_term:
            self._tried_term = term
            self._tried_at_s = now_s

    def on_takeover_answered(self) -> None:
        """Extend the right to grant leases after a stored takeover.

        The store answers a repeat like the first attempt, which it may have
        executed, and other entries may have read, long before.
        """
        self.on_renewed(self._tried_at_s)

    def on_renewed(self, sent_at_s: float) -> None:
        """Extend the right to grant leases after a stored renewal."""
        until_s = sent_at_s + lease_bounds.LEADER_LEASE_S
        self.leader_lease_until_s = max(self.leader_lease_until_s, until_s)

    def may_grant(self, now_s: float) -> bool:
        """Return whether this entry may grant leases."""
        return self.leads() and now_s < self.leader_lease_until_s
