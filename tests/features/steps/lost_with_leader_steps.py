from __future__ import annotations

import math
import pathlib
import sys
from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when

sys.path.append(str(pathlib.Path(__file__).parents[2]))

from cell_world.world import World  # noqa: E402
from yuccapoint.cell import lease_bounds  # noqa: E402
from yuccapoint.cell.step_spec import StepSpec  # noqa: E402
from yuccapoint.job.size import Size  # noqa: E402

if TYPE_CHECKING:
    from behave.runner import Context

STEP = StepSpec(3, Size(300, 2**20, 0), 1_500, long_running=True)
JOBS = 8


def _leaders(world: World) -> list:
    return [e for e in world.entries if e.alive and e.leader is not None]


def _kill_leaders(world: World, gone_s: float) -> None:
    for entry in _leaders(world):
        entry.kill()
        world.after(gone_s, entry.restart)


def _run_until(context: Context, world: World, until_s: float) -> None:
    """Advance a cell and note when the lost tasks run again."""
    while world.now_s < until_s:
        world.step()
        lost = context.lost[world]
        for worker in world.workers:
            for task_id in worker.running:
                if task_id in lost:
                    lost[task_id] = min(lost[task_id], world.now_s)


@given("{count:d} cells of {vms:d} VMs that work on long-running jobs")
def make_cells(context: Context, count: int, vms: int) -> None:
    context.worlds = [
        (seed, World(seed, vms, lasting_only=True))
        for seed in range(1, count + 1)
    ]
    for _, world in context.worlds:
        world.run(3.0)
        for _ in range(JOBS):
            world.submit(steps=(STEP,))
        world.run(8.0)


@when(
    "a VM is lost for good and its leader {after_s:f} s later for {gone_s:f} s"
)
def lose_vm_and_leader(
    context: Context, after_s: float, gone_s: float
) -> None:
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
        _kill_leaders(world, gone_s)


@when("the next leader is lost as soon as it has renewed")
def lose_next_leader(context: Context) -> None:
    for _, world in context.worlds:
        while not _leaders(world):
            _run_until(context, world, world.now_s + 0.1)
        renewed_s = lease_bounds.RENEW_INTERVAL_S + 0.3
        _run_until(context, world, world.now_s + renewed_s)
        _kill_leaders(world, 20.0)


@then("the VM's tasks run again within {limit_s:d} s of its loss")
def run_again(context: Context, limit_s: int) -> None:
    for seed, world in context.worlds:
        lost_at_s = context.lost_at_s[world]
        _run_until(context, world, lost_at_s + limit_s + 3.0)
        waits_s = [at_s - lost_at_s for at_s in context.lost[world].values()]
        assert max(waits_s) <= limit_s, (seed, sorted(waits_s))


def _cut_off(world: World, seed: int, seconds: float) -> str:
    vm = world.workers[seed % len(world.workers)].vm
    links = []
    for entry in world.entries:
        links += [(vm, entry.name), (entry.name, vm)]
    world._cut(links, seconds)
    return vm


@when(
    "a VM is cut off for {seconds:d} s and its leader is lost {after_s:f} s"
    " later for {gone_s:f} s"
)
def cut_off_vm_and_lose_leader(
    context: Context, seconds: int, after_s: float, gone_s: float
) -> None:
    for seed, world in context.worlds:
        _cut_off(world, seed, seconds)
        world.run(after_s)
        _kill_leaders(world, gone_s)


@when("a VM is cut off for {seconds:f} s")
def cut_off_vm(context: Context, seconds: float) -> None:
    for seed, world in context.worlds:
        _cut_off(world, seed, seconds)
        world.run(seconds)


@when("it reports again for {seconds:f} s, is cut off, and its leader is lost")
def lose_leader_after_report(context: Context, seconds: float) -> None:
    for seed, world in context.worlds:
        ledger = _leaders(world)[0].leader.vms[f"vm-{seed % 6}"]
        heard_at_s = ledger.heard_at_s
        while ledger.heard_at_s == heard_at_s:
            world.step()
        world.run(seconds)
        _cut_off(world, seed, 9.0)
        _kill_leaders(world, 5.0)


@when("{seconds:d} s pass in the cells")
def pass_time(context: Context, seconds: int) -> None:
    for _, world in context.worlds:
        world.run(seconds)
