"""Replacement of a leader by an entry that can carry more."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.cell.entry_capacity import EntryCapacity

if TYPE_CHECKING:
    from collections.abc import Mapping

    from yuccapoint.cell.cell_leader import CellLeader
    from yuccapoint.cell.cell_records import EntryMember
    from yuccapoint.cell.cell_records import Leadership

# An entry waits for this long for one that exceeds it to take over first; a
# takeover is stored and read in less.
OUTRANKED_DELAY_S = 0.4
# An entry replaces a leader that it exceeds after this time in which it has
# read the store and nobody else has taken over, plus its share of the spread.
REPLACE_AFTER_S = 1.5
REPLACE_SPREAD_S = 1.5
# An entry that has lost a term carries less than its settings tell, or can't
# reach the cell. It replaces no leader for this long, and lets others take
# over first.
LOST_TERM_S = 60.0
LOST_TERM_DELAY_S = 1.0
# Agents report at once to a new leader; their leases last for 5 s.
REPORTS_DUE_S = 1.5


class LeaderReplacement:
    """Compares entries by what their machines can carry.

    Parameters
    ----------
    entry : str
        Name of this entry.
    stagger : float
        Position of this entry, 0 to 1, in the spread of replacements.

    Attributes
    ----------
    capacity : EntryCapacity
        What this entry can carry.
    """

    __slots__ = (
        "_entries",
        "_entry",
        "_lost_at_s",
        "_replaced_term",
        "_stagger",
        "_term_read_at_s",
        "capacity",
    )

    def __init__(self, entry: str, stagger: float) -> None:
        self.capacity = EntryCapacity()
        self._entry = entry
        self._stagger = stagger
        self._entries: Mapping[str, EntryMember] = {}
        self._term_read_at_s = 0.0
        self._lost_at_s: float | None = None
        self._replaced_term = 0

    def follow_entries(self, entries: Mapping[str, EntryMember]) -> None:
        """Compare this entry with those that are registered, by name."""
        self._entries = entries

    def on_term_read(
        self, newest: Leadership, now_s: float, *, led: bool
    ) -> None:
        """Note a new term.

        Parameters
        ----------
        newest : Leadership
            Its first record that was read.
        now_s : float
            Steady time in seconds.
        led : bool
            Whether this process led the former term.
        """
        self._term_read_at_s = now_s
        if not led or newest.entry == self._entry:
            return
        member = self._entries.get(newest.entry)
        if member is None or not member.capacity.exceeds(self.capacity):
            self._lost_at_s = now_s

    def on_replacement_sent(self, term: int) -> None:
        """Note a takeover from a leader that this entry exceeds."""
        self._replaced_term = term

    def patience_s(self, now_s: float) -> float:
        """Return how long others may take over first, in seconds."""
        if self._has_lost_term(now_s):
            return LOST_TERM_DELAY_S
        if any(
            member.capacity.exceeds(self.capacity)
            for member in self._entries.values()
        ):
            return OUTRANKED_DELAY_S
        return 0.0

    def is_due(
        self, newest: Leadership, reading_since_s: float, now_s: float
    ) -> bool:
        """Return whether this entry can carry much more than the leader.

        Parameters
        ----------
        newest : Leadership
            Newest record of the leader.
        reading_since_s, now_s : float
            Since when this entry reads the store, and steady time in seconds.
        """
        since_s = max(reading_since_s, self._term_read_at_s)
        wait_s = REPLACE_AFTER_S + self._stagger * REPLACE_SPREAD_S
        if now_s - since_s < wait_s or self._has_lost_term(now_s):
            return False
        member = self._entries.get(newest.entry)
        return member is not None and self.capacity.exceeds(member.capacity)

    def is_in_vain(self, leader: CellLeader, now_s: float) -> bool:
        """Return whether few VMs report after this entry replaced a leader.

        Those that the former leader did not name as silent reported to it.

        Parameters
        ----------
        leader : CellLeader
            Leader of the term.
        now_s : float
            Steady time in seconds.
        """
        if leader.term != self._replaced_term:
            return False
        if now_s - self._term_read_at_s < REPORTS_DUE_S:
            return False
        expected = heard = 0
        for vm in leader.vms.values():
            if vm.claims and not leader.former_grants.is_silent(vm.name):
                expected += 1
                heard += vm.heard_at_s > 0.0
        return 2 * heard < expected

    def _has_lost_term(self, now_s: float) -> bool:
        if self._lost_at_s is None:
            return False
        return now_s - self._lost_at_s < LOST_TERM_S
