"""Fault rules shared by all state machines."""

from __future__ import annotations

import functools
from typing import Any
from typing import TYPE_CHECKING

from hypothesis import strategies as st
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine

from fuzzing.world import TICK_S
from fuzzing.world import World

if TYPE_CHECKING:
    from collections.abc import Callable

RETAINED_RECORDS = 80

indexes = st.integers(0, 2)
counts = st.integers(1, 4)
durations_s = st.sampled_from([0.1, 0.5, 1.0, 2.0, 4.0, 8.0])


class StepCounter:
    """Counts the rules that were run in this process."""

    count = 0


def step(**drawn: Any) -> Callable[[Callable[..., None]], Any]:
    """Create a rule that counts its runs and then advances time by a tick."""

    def decorate(body: Callable[..., None]) -> Any:
        @functools.wraps(body)
        def run(machine: FaultRules, **values: Any) -> None:
            StepCounter.count += 1
            machine.failed = True
            body(machine, **values)
            machine.world.advance(TICK_S)
            machine.failed = False

        return rule(**drawn)(run)

    return decorate


class FaultRules(RuleBasedStateMachine):
    """A world and the rules that inject its faults."""

    def __init__(self) -> None:
        super().__init__()
        self.failed = False
        self.world = World()

    def teardown(self) -> None:
        try:
            if not self.failed:
                self.world.oracle.settle()
        finally:
            self.world.close()

    @step(seconds=durations_s)
    def time_passes(self, seconds: float) -> None:
        self.world.advance(seconds)

    @step(seconds=durations_s)
    def time_passes_again(self, seconds: float) -> None:
        self.world.advance(seconds)

    @step(fault=st.sampled_from(["drop", "hold", "double"]), count=counts)
    def messages_fail(self, fault: str, count: int) -> None:
        self.world.network.faults += [fault] * count * 3

    @step(reordered=st.booleans())
    def held_messages_arrive(self, reordered: bool) -> None:
        self.world.network.release(reordered=reordered)

    @step()
    def region_is_cut(self) -> None:
        self.world.network.isolated_regions.add("east")

    @step(index=indexes)
    def vm_is_cut(self, index: int) -> None:
        self.world.network.isolated_members.add(f"vm-{index}")

    @step()
    def network_heals(self) -> None:
        self.world.network.isolated_regions.clear()
        self.world.network.isolated_members.clear()

    @step(down=st.booleans(), delay_s=st.sampled_from([0.0, 0.0, 0.5, 3.0]))
    def log_changes(self, down: bool, delay_s: float) -> None:
        self.world.log.faults.down = down
        self.world.log.faults.delay_s = delay_s

    @step(lost=counts, late=st.integers(0, 2))
    def log_answers_are_lost(self, lost: int, late: int) -> None:
        self.world.log.faults.lost_responses = lost
        self.world.log.faults.delayed_appends = late

    @step()
    def records_age_out(self) -> None:
        self.world.log.store.max_records = RETAINED_RECORDS

    @step(index=indexes)
    def vm_is_lost(self, index: int) -> None:
        self.world.crash_vm(index)

    @step(index=indexes)
    def vm_is_replaced(self, index: int) -> None:
        if not self.world.hosts[index].alive:
            self.world.start_vm(index)

    @step(index=indexes, agent=st.booleans())
    def process_restarts(self, index: int, agent: bool) -> None:
        member = self.member(index, agent)
        if not agent or self.world.hosts[index].alive:
            self.world.restart(member)

    @step(index=indexes, agent=st.booleans())
    def process_dies(self, index: int, agent: bool) -> None:
        member = self.member(index, agent)
        self.world.trace(f"{member.name} dies")
        self.world.kill(member)

    @step(index=indexes, agent=st.booleans(), seconds=durations_s)
    def process_is_paused(
        self, index: int, agent: bool, seconds: float
    ) -> None:
        member = self.member(index, agent)
        self.world.trace(f"{member.name} is paused")
        member.pause()
        self.world.advance(seconds)

    @step()
    def paused_go_on(self) -> None:
        for member in self.world.members():
            member.resume()

    def member(self, index: int, agent: bool) -> Any:
        members = self.world.agents if agent else self.world.entries
        return members[index % len(members)]
