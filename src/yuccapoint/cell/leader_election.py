"""Takeover of a cell's leadership and the right to grant leases."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.cell import lease_bounds
from yuccapoint.cell.leader_replacement import LeaderReplacement
from yuccapoint.cell.unread_renewals import UnreadRenewals

if TYPE_CHECKING:
    from yuccapoint.cell.cell_records import Leadership

# Spread of the first takeover attempts, so that entries that start together
# do not all write.
MAX_STAGGER_S = 0.25
REPLACES = "this entry can carry more than the leader"


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
    replacement : LeaderReplacement
        Prefers entries that can carry more.
    """

    def __init__(self, entry: str, incarnation: int, stagger: float) -> None:
        self.entry = entry
        self.incarnation = incarnation
        self.leader_lease_until_s = 0.0
        self.replacement = LeaderReplacement(entry, stagger)
        self._stagger_s = stagger * MAX_STAGGER_S
        self._newest: Leadership | None = None
        self._changed_at_s = 0.0
        self._resigned_at_s = 0.0
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
        if leader is not None:
            self._note_term(leader, now_s)
            self.unread_renewals.on_read(leader.term, leader.renewal)
        if leader != self._newest:
            self._newest = leader
            self._changed_at_s = now_s

    def _note_term(self, leader: Leadership, now_s: float) -> None:
        """Note a new term, or that its leader has just resigned."""
        newest = self._newest
        is_new = newest is None or leader.term != newest.term
        if is_new:
            led = newest is not None and self._is_of_this_process(newest)
            self.replacement.on_term_read(leader, now_s, led=led)
        if newest is None or is_new or not newest.resigned:
            # A leader that yields renews its term meanwhile.
            self._resigned_at_s = now_s

    def _is_of_this_process(self, record: Leadership) -> bool:
        return (record.entry, record.incarnation) == (
            self.entry,
            self.incarnation,
        )

    def leads(self) -> bool:
        """Return whether this entry leads according to the store."""
        newest = self._newest
        if newest is None or newest.term <= self._fenced_term:
            return False
        if newest.resigned and not self.yields:
            return False
        return self._is_of_this_process(newest)

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
        patience_s = self._stagger_s + self.replacement.patience_s(now_s)
        silent_s = now_s - self._changed_at_s - patience_s
        if newest is None:
            return "no entry has led" if silent_s >= 0.0 else ""
        if newest.resigned:
            if now_s - self._resigned_at_s < patience_s:
                return ""
            return "the leader resigned or yields"
        if newest.entry == self.entry and newest.term > self._fenced_term:
            # The leader was a former incarnation of this entry, now gone.
            return "a former process led" if silent_s >= 0.0 else ""
        if silent_s >= lease_bounds.LEADER_TIMEOUT_S:
            return "the leader is silent"
        if self.replacement.is_due(newest, self._reading_since_s, now_s):
            return REPLACES
        return ""

    def on_fenced(self, term: int) -> None:
        """Note that the store refuses further records of a term."""
        self._fenced_term = max(self._fenced_term, term)
        self.leader_lease_until_s = 0.0

    def on_takeover_sent(self, term: int, now_s: float) -> None:
        """Note an attempt to take over a term."""
        if self.takeover_reason(now_s) == REPLACES:
            self.replacement.on_replacement_sent(term)
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
