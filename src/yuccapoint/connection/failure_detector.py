"""Classifies members as alive, slow or dead by their heartbeats."""

from __future__ import annotations

import enum

INITIAL_INTERVAL_S = 1.0
INTERVAL_EWMA_WEIGHT = 0.1
DEVIATION_FACTOR = 4.0
SLOW_AFTER_S = 2.0
MIN_DEAD_AFTER_S = 4.5
LOCAL_PAUSE_S = 0.5
MAX_DEAD_AFTER_S = 8.0
MEMBER_TTL_S = 600.0


class MemberState(enum.Enum):
    """Assumed state of a member."""

    ALIVE = "alive"
    SLOW = "slow"
    DEAD = "dead"
    UNKNOWN = "unknown"


class MemberTiming:
    """Time of a member's last heartbeat and its interval statistics."""

    __slots__ = (
        "deviation_s",
        "incarnation",
        "interval_s",
        "last_heartbeat_s",
    )

    def __init__(self, incarnation: int, last_heartbeat_s: float) -> None:
        self.incarnation = incarnation
        self.last_heartbeat_s = last_heartbeat_s
        self.interval_s = INITIAL_INTERVAL_S
        self.deviation_s = 0.0

    @property
    def dead_after_s(self) -> float:
        """Silence after which the member is considered dead, in seconds."""
        expected_s = self.interval_s + DEVIATION_FACTOR * self.deviation_s
        return min(MAX_DEAD_AFTER_S, max(MIN_DEAD_AFTER_S, expected_s))


class FailureDetector:
    """Detects dead members by their silence, except for its own pauses.

    The timeout adapts to the jitter of a member's heartbeats, up to a
    bound. While this process is paused it does not read its messages
    either, so that time does not count as silence of the members.
    """

    def __init__(self) -> None:
        self.local_pauses = 0
        self._members: dict[str, MemberTiming] = {}
        self._last_tick_s: float | None = None

    def record_heartbeat(
        self, member: str, incarnation: int, now_s: float
    ) -> bool:
        """Record a heartbeat; return False if an older incarnation sent it.

        Parameters
        ----------
        member : str
            Name of the member without its incarnation.
        incarnation : int
            Start time of the member. It is lower than that of the start before
            if the member's time of day was set back.
        now_s : float
            Monotonic time in seconds.
        """
        known = self._members.get(member)
        if known is None or known.incarnation < incarnation:
            self._members[member] = MemberTiming(incarnation, now_s)
            return True
        if known.incarnation > incarnation:
            silent_s = now_s - known.last_heartbeat_s
            if silent_s < known.dead_after_s:
                return False
            # The later start time is that of an incarnation that has ended.
            self._members[member] = MemberTiming(incarnation, now_s)
            return True
        interval_s = max(0.0, now_s - known.last_heartbeat_s)
        error_s = abs(interval_s - known.interval_s)
        known.interval_s += INTERVAL_EWMA_WEIGHT * (
            interval_s - known.interval_s
        )
        known.deviation_s += INTERVAL_EWMA_WEIGHT * (
            error_s - known.deviation_s
        )
        known.last_heartbeat_s = max(known.last_heartbeat_s, now_s)
        return True

    def tick(self, now_s: float) -> float:
        """Record that this process runs.

        Returns
        -------
        float
            Length of the pause since the last call in seconds; 0 if it
            was called on time.
        """
        last_tick_s = self._last_tick_s
        self._last_tick_s = now_s
        if last_tick_s is None or now_s - last_tick_s < LOCAL_PAUSE_S:
            return 0.0
        paused_s = now_s - last_tick_s
        self.local_pauses += 1
        for member in self._members.values():
            if member.last_heartbeat_s <= last_tick_s:
                member.last_heartbeat_s += paused_s
        return paused_s

    def state(self, member: str, now_s: float) -> MemberState:
        """Return the assumed state of a member."""
        known = self._members.get(member)
        if known is None:
            return MemberState.UNKNOWN
        silent_s = now_s - known.last_heartbeat_s
        if silent_s >= known.dead_after_s:
            return MemberState.DEAD
        if silent_s >= SLOW_AFTER_S:
            return MemberState.SLOW
        return MemberState.ALIVE

    def remove_expired(self, now_s: float) -> list[str]:
        """Remove members whose last heartbeat is older than the TTL."""
        expired = [
            name
            for name, member in self._members.items()
            if now_s - member.last_heartbeat_s > MEMBER_TTL_S
        ]
        for name in expired:
            del self._members[name]
        return expired
