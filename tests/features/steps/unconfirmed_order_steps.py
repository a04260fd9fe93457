from __future__ import annotations

from typing import TYPE_CHECKING

from behave import then
from behave import when

from yuccapoint.cell.lease_bounds import MAX_CLOCK_RATIO
from yuccapoint.cell.lease_bounds import UNCONFIRMED_AFTER_S
from yuccapoint.cell.lease_bounds import VM_LEASE_S
from yuccapoint.cell.step_spec import StepSpec
from yuccapoint.job.size import Size

if TYPE_CHECKING:
    from behave.runner import Context

    from cell_world.world import World

TASK_SIZE = Size(300, 2**20, 0)
SUBMIT_INTERVAL_S = 0.5
SOON_S = 1.0
# A VM without orders gets no grant after one lease, and its tasks are released
# when the last one has expired.
MAX_WAIT_S = 2 * VM_LEASE_S * MAX_CLOCK_RATIO + SOON_S


def _submit_while_deaf(world: World, seconds: float) -> dict[float, float]:
    """Return how long each task waited, by the time since the cut began."""
    world.run(3.0)
    vm = world.workers[0].vm
    world.cut_links.update((entry.name, vm) for entry in world.entries)
    begun_s = world.now_s
    submitted_at_s: dict[str, float] = {}
    waited_s: dict[float, float] = {}
    while world.now_s < begun_s + seconds:
        if world.now_s >= begun_s + SUBMIT_INTERVAL_S * len(submitted_at_s):
            step = StepSpec(tasks=1, size=TASK_SIZE)
            submitted_at_s[world.submit(steps=(step,))] = world.now_s
        world.step()
        for job_id, at_s in submitted_at_s.items():
            started = f"{job_id}.0.0.0" in world.oracle._runs_started
            if not started or at_s - begun_s not in waited_s:
                waited_s[at_s - begun_s] = world.now_s - at_s
    world.cut_links.clear()
    return waited_s


@when(
    "no orders get through to a VM for {seconds:d} s, while jobs are submitted"
)
def lose_orders(context: Context, seconds: int) -> None:
    context.waited_s = [
        _submit_while_deaf(world, seconds) for _, world in context.worlds
    ]


@then(
    "each task started within two leases, and soon once none was claimed there"
)
def started_elsewhere(context: Context) -> None:
    for waited_s in context.waited_s:
        assert max(waited_s.values()) < MAX_WAIT_S, waited_s
        late = {
            at_s: wait_s
            for at_s, wait_s in waited_s.items()
            if at_s > UNCONFIRMED_AFTER_S + SOON_S and wait_s > SOON_S
        }
        assert not late, late


@then("the VM gets work again")
def works_again(context: Context) -> None:
    for _, world in context.worlds:
        worker = world.workers[0]
        ended_before = worker._number
        for _ in range(5):
            world.submit(steps=(StepSpec(tasks=8, size=TASK_SIZE),))
            world.run(1.0)
        assert worker._number > ended_before
