from __future__ import annotations

import math
from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when
from entry_capacity_steps import MS_PER_S
from entry_capacity_steps import NARROW
from entry_capacity_steps import WIDE
from lost_with_leader_steps import _leaders

from cell_world.world import World

if TYPE_CHECKING:
    from behave.runner import Context

ENTRIES = 3
# Processor time of the other entries for a message.
MESSAGE_S = 0.002


@given(
    "{count:d} cells of {vms:d} VMs, where the entry with the widest limits"
    " takes {message_ms:d} ms for a message and the others 2 ms"
)
def make_cells(
    context: Context, count: int, vms: int, message_ms: int
) -> None:
    context.worlds = []
    for seed in range(1, count + 1):
        world = World(seed, vms, ENTRIES)
        for number, entry in enumerate(world.entries):
            entry.capacity = NARROW if number else WIDE
            entry.processor.message_s = (
                MESSAGE_S if number else message_ms / MS_PER_S
            )
            with world.clock.installed():
                entry.restart()
        world.run(8.0)
        context.worlds.append((seed, world))


@when("a VM is lost for good")
def lose_vm(context: Context) -> None:
    context.lost = {}
    context.lost_at_s = {}
    for _, world in context.worlds:
        worker = max(world.workers, key=lambda worker: len(worker.running))
        context.lost[world] = dict.fromkeys(worker.running, math.inf)
        context.lost_at_s[world] = world.now_s
        worker.crash(world.now_s)
        world.agents[worker.vm].frozen_until_s = math.inf


@then("that entry took over at most {limit:d} times in the last {seconds:d} s")
def takeovers(context: Context, limit: int, seconds: int) -> None:
    for seed, world in context.worlds:
        acquired_s = [
            at_s
            for at_s, text, _ in world.entries[0].log.leader_lines
            if text == "leadership acquired" and at_s > world.now_s - seconds
        ]
        assert len(acquired_s) <= limit, (seed, acquired_s)


@when("that entry is gone for {seconds:d} s, and no report reaches it then")
def lose_reports(context: Context, seconds: int) -> None:
    for _, world in context.worlds:
        entry = world.entries[0]
        entry.kill()
        world.after(seconds, entry.restart)
        world._cut([(vm, entry.name) for vm in world.agents], math.inf)
        world.run(seconds)


@then("another entry leads each cell")
def another_leads(context: Context) -> None:
    for seed, world in context.worlds:
        leaders = _leaders(world)
        assert leaders, seed
        assert leaders[0] is not world.entries[0], seed
