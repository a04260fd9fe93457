"""Tells live members from slow and dead ones, by when they were heard."""

from __future__ import annotations

import enum

FIRST_INTERVAL_S = 1.0
INTERVAL_WEIGHT = 0.1
DEVIATIONS = 4.0
SLOW_AFTER_S = 2.0
DEAD_AFTER_S = 4.5
OWN_PAUSE_S = 0.5
MAX_DEAD_AFTER_S = 8.0
FORGET_AFTER_S = 600.0


class MemberState(enum.Enum):
    """What is believed of a member."""

    ALIVE = "alive"
    SLOW = "slow"
    DEAD = "dead"
    UNKNOWN = "unknown"


class HeardMember:
    """When a member was heard, and how regularly."""

    __slots__ = ("deviation_s", "heard_at_s", "incarnation", "interval_s")

    def __init__(self, incarnation: int, heard_at_s: float) -> None:
        self.incarnation = incarnation
        self.heard_at_s = heard_at_s
        self.interval_s = FIRST_INTERVAL_S
        self.deviation_s = 0.0

    @property
    def dead_after_s(self) -> float:
        """Silence after which the member counts as dead, in seconds."""
        expected_s = self.interval_s + DEVIATIONS * self.deviation_s
        return min(MAX_DEAD_AFTER_S, max(DEAD_AFTER_S, expected_s))


class FailureDetector:
    """Judges members by their silence and doubts itself after a pause.

    A member whose messages come irregularly is given more time, within a
    bound. When this process was not run for a while, its inbox is not
    read either; that silence is not held against the members.
    """

    def __init__(self) -> None:
        self.own_pauses = 0
        self._members: dict[str, HeardMember] = {}
        self._ticked_at_s: float | None = None

    def heard(self, member: str, incarnation: int, now_s: float) -> bool:
        """Take note of a message; False if an older start sent it.

        Parameters
        ----------
        member : str
            Name of the member without its incarnation.
        incarnation : int
            Rises with each start of the member.
        now_s : float
            Monotonic time in seconds.
        """
        known = self._members.get(member)
        if known is None or known.incarnation < incarnation:
            self._members[member] = HeardMember(incarnation, now_s)
            return True
        if known.incarnation > incarnation:
            return False
        interval_s = max(0.0, now_s - known.heard_at_s)
        off_s = abs(interval_s - known.interval_s)
        known.interval_s += INTERVAL_WEIGHT * (interval_s - known.interval_s)
        known.deviation_s += INTERVAL_WEIGHT * (off_s - known.deviation_s)
        known.heard_at_s = max(known.heard_at_s, now_s)
        return True

    def tick(self, now_s: float) -> float:
        """Take note that this process runs.

        Returns
        -------
        float
            How long it had not run, in seconds; 0 if it ran on time.
        """
        last_s = self._ticked_at_s
        self._ticked_at_s = now_s
        if last_s is None or now_s - last_s < OWN_PAUSE_S:
            return 0.0
        paused_s = now_s - last_s
        self.own_pauses += 1
        for member in self._members.values():
            if member.heard_at_s <= last_s:
                member.heard_at_s += paused_s
        return paused_s

    def state(self, member: str, now_s: float) -> MemberState:
        """Tell what is believed of a member now."""
        known = self._members.get(member)
        if known is None:
            return MemberState.UNKNOWN
        silent_s = now_s - known.heard_at_s
        if silent_s >= known.dead_after_s:
            return MemberState.DEAD
        if silent_s >= SLOW_AFTER_S:
            return MemberState.SLOW
        return MemberState.ALIVE

    def forget_dead(self, now_s: float) -> list[str]:
        """Drop members that have been silent for very long."""
        dropped = [
            name
            for name, member in self._members.items()
            if now_s - member.heard_at_s > FORGET_AFTER_S
        ]
        for name in dropped:
            del self._members[name]
        return dropped
