"""Failure detection of members that pause, crash or lose messages."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

from yuccapoint.bench.virtual_time import VirtualNetwork
from yuccapoint.bench.virtual_time import VirtualTime
from yuccapoint.connection.failure_detector import FailureDetector
from yuccapoint.connection.failure_detector import MemberState

if TYPE_CHECKING:
    import random

MEMBER_COUNT = 60
DURATION_S = 600.0
HEARTBEAT_INTERVAL_S = 1.0
TICK_INTERVAL_S = 0.05
PAUSE_S = 2.0
PAUSES_PER_S = 0.5
MIN_PAUSE_GAP_S = 10.0
OBSERVER_PAUSE_INTERVAL_S = 60.0
DEATH_COUNT = 20
BASELINE_TIMEOUT_S = 3.0


class FailureDetectionTrial:
    """Simulates an observer that monitors the heartbeats of many members.

    Attributes
    ----------
    false_deaths, baseline_false_deaths : int
        Live members declared dead. The baseline is a fixed timeout of 3 s
        that does not account for pauses of the observer itself.
    detection_times_s : list of float
        Time from each real death to its detection, in seconds.
    """

    def __init__(self, rng: random.Random) -> None:
        self.false_deaths = 0
        self.baseline_false_deaths = 0
        self.detection_times_s: list[float] = []
        self._rng = rng
        self._time = VirtualTime()
        self._network = VirtualNetwork(self._time, rng)
        self._detector = FailureDetector()
        self._last_heartbeat_s = [0.0] * MEMBER_COUNT
        self._paused_until_s = [0.0] * MEMBER_COUNT
        self._died_at_s: dict[int, float] = {}
        self._declared_dead: set[int] = set()
        self._baseline_declared_dead: set[int] = set()
        self._observer_paused_until_s = 0.0
        self._inbox: list[int] = []

    def run(self) -> None:
        """Run the whole trial."""
        for member in range(MEMBER_COUNT):
            first_heartbeat = functools.partial(self._send_heartbeat, member)
            self._time.schedule(self._rng.random(), first_heartbeat)
        for number in range(int(DURATION_S * PAUSES_PER_S)):
            self._time.schedule(number / PAUSES_PER_S, self._pause_member)
        for number in range(1, int(DURATION_S / OBSERVER_PAUSE_INTERVAL_S)):
            at_s = number * OBSERVER_PAUSE_INTERVAL_S
            self._time.schedule(at_s, self._pause_observer)
        for number in range(DEATH_COUNT):
            self._time.schedule(20.0 + number * 25.0, self._kill_member)
        self._time.schedule(2.0, self._check_members)
        self._time.run(DURATION_S)

    def _send_heartbeat(self, member: int) -> None:
        if member in self._died_at_s:
            return
        now_s = self._time.now_s
        next_heartbeat = functools.partial(self._send_heartbeat, member)
        if now_s < self._paused_until_s[member]:
            remaining_s = self._paused_until_s[member] - now_s
            self._time.schedule(remaining_s + TICK_INTERVAL_S, next_heartbeat)
            return
        self._network.send(0, 1, functools.partial(self._inbox.append, member))
        self._time.schedule(HEARTBEAT_INTERVAL_S, next_heartbeat)

    def _pause_member(self) -> None:
        member = self._rng.randrange(MEMBER_COUNT)
        # Adjacent pauses would merge into one longer than PAUSE_S.
        if self._time.now_s < self._paused_until_s[member] + MIN_PAUSE_GAP_S:
            return
        self._paused_until_s[member] = self._time.now_s + PAUSE_S

    def _pause_observer(self) -> None:
        self._observer_paused_until_s = self._time.now_s + 4.0

    def _kill_member(self) -> None:
        member = self._rng.randrange(MEMBER_COUNT)
        self._died_at_s.setdefault(member, self._time.now_s)

    def _check_members(self) -> None:
        now_s = self._time.now_s
        if now_s < self._observer_paused_until_s:
            remaining_s = self._observer_paused_until_s - now_s
            self._time.schedule(
                remaining_s + TICK_INTERVAL_S, self._check_members
            )
            return
        self._detector.tick(now_s)
        for member in range(MEMBER_COUNT):
            self._check_member(member, now_s)
        # Heartbeats that arrived during a pause of the observer are read
        # only after the first check.
        for member in self._inbox:
            self._last_heartbeat_s[member] = now_s
            self._detector.record_heartbeat(str(member), 1, now_s)
        self._inbox.clear()
        self._time.schedule(TICK_INTERVAL_S, self._check_members)

    def _check_member(self, member: int, now_s: float) -> None:
        state = self._detector.state(str(member), now_s)
        died_at_s = self._died_at_s.get(member)
        if state is not MemberState.DEAD:
            self._declared_dead.discard(member)
        elif member not in self._declared_dead:
            self._declared_dead.add(member)
            if died_at_s is None:
                self.false_deaths += 1
            else:
                self.detection_times_s.append(now_s - died_at_s)
        if now_s - self._last_heartbeat_s[member] < BASELINE_TIMEOUT_S:
            self._baseline_declared_dead.discard(member)
        elif member not in self._baseline_declared_dead:
            self._baseline_declared_dead.add(member)
            self.baseline_false_deaths += died_at_s is None
