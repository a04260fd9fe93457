"""Members that are paused, late or dead, and who is taken for dead."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

from yuccapoint.bench.virtual_time import VirtualNetwork
from yuccapoint.bench.virtual_time import VirtualTime
from yuccapoint.connection.failure_detector import FailureDetector
from yuccapoint.connection.failure_detector import MemberState

if TYPE_CHECKING:
    import random

MEMBERS = 60
SPAN_S = 600.0
HEARTBEAT_S = 1.0
TICK_S = 0.05
PAUSE_S = 2.0
PAUSES_PER_S = 0.5
APART_S = 10.0
OWN_PAUSE_EVERY_S = 60.0
DEATHS = 20
BASELINE_DEAD_AFTER_S = 3.0


class SilenceTrial:
    """One observer of many members, in virtual time.

    Attributes
    ----------
    false_deaths, baseline_false_deaths : int
        Live members taken for dead; the baseline takes whoever is silent
        for 3 s and doesn't doubt itself.
    noticed_s : list of float
        How long each real death went unnoticed, in seconds.
    """

    def __init__(self, rng: random.Random) -> None:
        self.false_deaths = 0
        self.baseline_false_deaths = 0
        self.noticed_s: list[float] = []
        self._rng = rng
        self._time = VirtualTime()
        self._net = VirtualNetwork(self._time, rng)
        self._detector = FailureDetector()
        self._heard_at_s = [0.0] * MEMBERS
        self._paused_until_s = [0.0] * MEMBERS
        self._died_at_s: dict[int, float] = {}
        self._taken: set[int] = set()
        self._baseline_taken: set[int] = set()
        self._own_pause_until_s = 0.0
        self._inbox: list[int] = []

    def run(self) -> None:
        """Run the whole trial."""
        for member in range(MEMBERS):
            beat = functools.partial(self._beat, member)
            self._time.after(self._rng.random(), beat)
        for number in range(int(SPAN_S * PAUSES_PER_S)):
            self._time.after(number / PAUSES_PER_S, self._pause)
        for number in range(1, int(SPAN_S / OWN_PAUSE_EVERY_S)):
            at_s = number * OWN_PAUSE_EVERY_S
            self._time.after(at_s, self._pause_self)
        for number in range(DEATHS):
            self._time.after(20.0 + number * 25.0, self._kill)
        self._time.after(2.0, self._look)
        self._time.run(SPAN_S)

    def _beat(self, member: int) -> None:
        if member in self._died_at_s:
            return
        now_s = self._time.now_s
        again = functools.partial(self._beat, member)
        if now_s < self._paused_until_s[member]:
            left_s = self._paused_until_s[member] - now_s
            self._time.after(left_s + TICK_S, again)
            return
        self._net.send(0, 1, functools.partial(self._inbox.append, member))
        self._time.after(HEARTBEAT_S, again)

    def _pause(self) -> None:
        member = self._rng.randrange(MEMBERS)
        # Pauses that join would be longer than the stated one.
        if self._time.now_s < self._paused_until_s[member] + APART_S:
            return
        self._paused_until_s[member] = self._time.now_s + PAUSE_S

    def _pause_self(self) -> None:
        self._own_pause_until_s = self._time.now_s + 4.0

    def _kill(self) -> None:
        member = self._rng.randrange(MEMBERS)
        self._died_at_s.setdefault(member, self._time.now_s)

    def _look(self) -> None:
        now_s = self._time.now_s
        if now_s < self._own_pause_until_s:
            left_s = self._own_pause_until_s - now_s
            self._time.after(left_s + TICK_S, self._look)
            return
        self._detector.tick(now_s)
        for member in range(MEMBERS):
            self._judge(member, now_s)
        # What came during a pause is read only after the first look.
        for member in self._inbox:
            self._heard_at_s[member] = now_s
            self._detector.record_heartbeat(str(member), 1, now_s)
        self._inbox.clear()
        self._time.after(TICK_S, self._look)

    def _judge(self, member: int, now_s: float) -> None:
        state = self._detector.state(str(member), now_s)
        died_at_s = self._died_at_s.get(member)
        if state is not MemberState.DEAD:
            self._taken.discard(member)
        elif member not in self._taken:
            self._taken.add(member)
            if died_at_s is None:
                self.false_deaths += 1
            else:
                self.noticed_s.append(now_s - died_at_s)
        if now_s - self._heard_at_s[member] < BASELINE_DEAD_AFTER_S:
            self._baseline_taken.discard(member)
        elif member not in self._baseline_taken:
            self._baseline_taken.add(member)
            self.baseline_false_deaths += died_at_s is None
