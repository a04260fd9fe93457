from __future__ import annotations

import math
import pathlib
import sys
from typing import TYPE_CHECKING

from behave import when

sys.path.append(str(pathlib.Path(__file__).parents[2]))

if TYPE_CHECKING:
    from behave.runner import Context

    from cell_world.world import World


def _run_until(context: Context, world: World, until_s: float) -> None:
    """Advance a cell and note when the lost tasks run again."""
    while world.now_s < until_s:
        world.step()
        lost = context.lost[world]
        for worker in world.workers:
            for task_id in worker.running:
                if task_id in lost:
                    lost[task_id] = min(lost[task_id], world.now_s)


def _stop_leaders(world: World) -> None:
    for entry in world.entries:
        if entry.alive and entry.leader is not None:
            entry.stop()
            world.after(1.0, entry.kill)
            world.after(3.0, entry.restart)


@when("a VM is lost for good and its leader stops {after_s:f} s later")
def lose_vm_and_stop_leader(context: Context, after_s: float) -> None:
    context.lost = {}
    context.lost_at_s = {}
    for seed, world in context.worlds:
        worker = world.workers[seed % len(world.workers)]
        assert worker.running, seed
        context.lost[world] = dict.fromkeys(worker.running, math.inf)
        context.lost_at_s[world] = world.now_s
        worker.crash(world.now_s)
        world.agents[worker.vm].frozen_until_s = math.inf
        _run_until(context, world, world.now_s + after_s)
        _stop_leaders(world)


@when(
    "a VM is cut off for {seconds:d} s and its leader stops {after_s:f} s"
    " later"
)
def cut_off_vm_and_stop_leader(
    context: Context, seconds: int, after_s: float
) -> None:
    for seed, world in context.worlds:
        vm = world.workers[seed % len(world.workers)].vm
        links = []
        for entry in world.entries:
            links += [(vm, entry.name), (entry.name, vm)]
        world._cut(links, seconds)
        world.run(after_s)
        _stop_leaders(world)
