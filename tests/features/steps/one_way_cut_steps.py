from __future__ import annotations

from typing import TYPE_CHECKING

from behave import then
from behave import when

from yuccapoint.cell.step_spec import StepSpec
from yuccapoint.job.size import Size

if TYPE_CHECKING:
    from behave.runner import Context

    from cell_world.world import World

TASKS = 24
TASK_SIZE = Size(300, 2**20, 0)
# A report or an answer that was under way when the cut began has arrived.
IN_FLIGHT_S = 0.3


class OneWayCut:
    """What is seen of the first VM while its reports are lost."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.worker = world.workers[0]
        self.agent = world.agents[self.worker.vm].vm_agent
        self.orders_heard = 0
        self.overrun_s = 0.0
        # Times of the expiry of the worker's lease and of the first start
        # elsewhere of a task that had ended as done there.
        self.expired_at_s: float | None = None
        self.restarted_at_s: float | None = None
        self.acked_in_lease: list[int] = []

    def run(self, seconds: float) -> None:
        world = self.world
        world.run(3.0)
        # A job that is drawn hopeless would have no end to acknowledge.
        world.submit(
            steps=(StepSpec(tasks=TASKS, size=TASK_SIZE),), payload="sound"
        )
        while not self.worker.running:
            world.step()
        world.cut_links.update(
            (self.worker.vm, entry.name) for entry in world.entries
        )
        begun_s = world.now_s
        acked = 0
        orders = self.agent._order_sequence
        while world.now_s < begun_s + seconds:
            world.step()
            self._note_lease()
            self._note_restarts()
            if world.now_s < begun_s + IN_FLIGHT_S:
                acked = self.agent.registry.acked_end_number
            elif self.agent.registry.acked_end_number > acked:
                self.acked_in_lease.append(
                    self.agent.registry.acked_end_number
                )
        self.orders_heard = self.agent._order_sequence - orders
        world.cut_links.clear()

    def _note_lease(self) -> None:
        worker = self.worker
        lease_until_s = worker._started_s + worker._lease_ms / (
            1000 * worker._rate
        )
        for entry in self.world.entries:
            if entry.leader is None:
                continue
            counted_s = entry.leader.vms[worker.vm].leased_until_s
            self.overrun_s = max(self.overrun_s, lease_until_s - counted_s)
        if self.expired_at_s is None and self.world.now_s > lease_until_s:
            self.expired_at_s = self.world.now_s

    def _note_restarts(self) -> None:
        if self.restarted_at_s is not None:
            return
        done = {e.task_id for e in self.worker._ends if e.how == "done"}
        for other in self.world.workers[1:]:
            if done & other.running.keys():
                self.restarted_at_s = self.world.now_s


@when("the reports of a VM with running tasks are lost for {seconds:d} s")
def lose_reports(context: Context, seconds: int) -> None:
    context.cuts = [OneWayCut(world) for _, world in context.worlds]
    for cut in context.cuts:
        cut.run(seconds)


@then(
    "orders have arrived there, and its leases have ended by the leader's "
    "account"
)
def leases_counted(context: Context) -> None:
    for cut in context.cuts:
        assert cut.orders_heard > 10, cut.orders_heard
        assert cut.overrun_s == 0.0, cut.overrun_s
        assert cut.expired_at_s is not None


@then("its worker has kept the ends until its lease expired")
def ends_kept(context: Context) -> None:
    for cut in context.cuts:
        assert not cut.acked_in_lease, cut.acked_in_lease


@then("tasks done there have been started again, and only after that")
def restarted_later(context: Context) -> None:
    for cut in context.cuts:
        assert cut.restarted_at_s is not None
        assert cut.expired_at_s is not None
        assert cut.restarted_at_s > cut.expired_at_s


@then("its worker lists no ends any more")
def ends_acknowledged(context: Context) -> None:
    for cut in context.cuts:
        assert not cut.worker._ends, cut.worker._ends
