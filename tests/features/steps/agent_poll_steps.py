from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when

from yuccapoint.cell.cell_messages import EndedRun
from yuccapoint.cell.cell_messages import LeaderOrders
from yuccapoint.cell.occurrence_state import WorkerInstance
from yuccapoint.cell.worker_events import CallAnswer
from yuccapoint.cell.worker_events import CallResult
from yuccapoint.cell.worker_events import CheckIn
from yuccapoint.cell.worker_events import WorkerStatus
from yuccapoint.job.size import Size
from yuccapoint.process.cell_agent_process import CellAgentProcess
from yuccapoint.process.metrics import Metrics
from yuccapoint.process.process_logger import ProcessLogger
from yuccapoint_standins.deployment import find_free_address

if TYPE_CHECKING:
    from behave.runner import Context

    from yuccapoint.cell.worker_events import StatusRequest
    from yuccapoint.cell.worker_events import WorkerCall

VM = "vm-0"
INSTANCE = WorkerInstance(VM, "i-0", 1)
END = EndedRun(1, "e" * 16 + ".0.0.0", 1, "done", "")


class QuickWorker:
    """Answers at once while it lists an end, and else after its wait."""

    def __init__(self) -> None:
        self.born_ms = 1
        self.polled_at_s: list[float] = []
        self.asked_with: list[tuple[int, int]] = []

    async def call(
        self, call: WorkerCall, instance: WorkerInstance
    ) -> CallAnswer:
        del call, instance
        return CallAnswer(CallResult.DONE)

    async def fetch_status(
        self, request: StatusRequest, instance: WorkerInstance
    ) -> WorkerStatus:
        del instance
        self.polled_at_s.append(asyncio.get_running_loop().time())
        await asyncio.sleep(0.001)
        ends = (END,) if request.last_seen < END.number else ()
        if not ends:
            await asyncio.sleep(request.wait_ms / 1000)
        return WorkerStatus(
            clock_ms=1_000, born_ms=self.born_ms, running=(), ends=ends
        )

    async def fetch_born_ms(
        self, worker_id: str, term: int, fence: int
    ) -> int | None:
        del worker_id
        self.asked_with.append((term, fence))
        return self.born_ms

    def close(self) -> None:
        """Close nothing."""


class IdleStore:
    """Accepts the agent's registration."""

    async def append(self, records, **fields) -> int:
        del records, fields
        return 0


def _orders(sequence: int, acked: int) -> LeaderOrders:
    return LeaderOrders(
        vm=VM,
        term=1,
        leader="e-0",
        address="",
        sequence=sequence,
        answers=0,
        agent_incarnation=0,
        lease_ms=0,
        instance=INSTANCE,
        acked_end_number=acked,
        starts=(),
        awaited=(),
        stops=(),
        traits=(),
        pairs=(),
    )


def _check_in(instance: WorkerInstance, address: str) -> CheckIn:
    return CheckIn(
        instance=instance,
        pool="pool",
        address=address,
        capacity=Size(8_000, 2**35, 0),
        labels=(),
        draining=False,
        remaining_ms=0,
        clock_ms=1_000,
        sequence=1,
    )


@given("an agent whose worker lists an end")
def agent(context: Context) -> None:
    context.worker = QuickWorker()
    context.sequence = 0

    async def start() -> None:
        address = find_free_address()
        context.agent = CellAgentProcess(
            VM,
            address,
            IdleStore(),
            lambda _: context.worker,
            ProcessLogger(VM),
            Metrics(),
        )
        context.agent.start()
        context.agent.on_check_in(_check_in(INSTANCE, "worker"))

    context.loop.run_until_complete(start())


def _send_orders(context: Context, acked: int) -> None:
    context.sequence += 1
    context.agent._on_message(_orders(context.sequence, acked))


def _play(context: Context, seconds: int) -> None:
    """Deliver orders that acknowledge nothing, as a leader's probes do."""

    async def play() -> None:
        for _ in range(seconds * 10):
            _send_orders(context, 0)
            await asyncio.sleep(0.1)

    context.loop.run_until_complete(play())


@when("no leader acknowledges the end for {seconds:d} s")
def unacknowledged(context: Context, seconds: int) -> None:
    _play(context, seconds)


@when(
    "the worker answers as an instance that has not checked in"
    " for {seconds:d} s"
)
def restarted(context: Context, seconds: int) -> None:
    context.worker.born_ms = 2
    _play(context, seconds)


@when("the leader acknowledges the end")
def acknowledged(context: Context) -> None:
    async def play() -> None:
        context.worker.polled_at_s.clear()
        context.acked_at_s = asyncio.get_running_loop().time()
        _send_orders(context, END.number)
        await asyncio.sleep(0.3)

    context.loop.run_until_complete(play())


@then("the worker was polled between {least:d} and {most:d} times")
def polled(context: Context, least: int, most: int) -> None:
    count = len(context.worker.polled_at_s)
    assert least <= count <= most, count


@then("the worker is polled within {bound_ms:d} ms")
def polled_soon(context: Context, bound_ms: int) -> None:
    delay_s = context.worker.polled_at_s[0] - context.acked_at_s
    assert delay_s * 1000 <= bound_ms, delay_s


@when("a check-in names {what}")
def named(context: Context, what: str) -> None:
    instance, address = INSTANCE, "worker"
    if what == "another worker":
        instance = WorkerInstance(VM, "i-1", 2)
    elif what == "another address":
        address = "other"
    else:
        assert what == "a later start of the worker", what
        instance = WorkerInstance(VM, INSTANCE.worker_id, 2)

    async def play() -> None:
        context.worker.asked_with.clear()
        context.agent.on_check_in(_check_in(instance, address))
        await asyncio.sleep(0.05)

    context.loop.run_until_complete(play())


@then("it is asked {how} token")
def asked(context: Context, how: str) -> None:
    agent = context.agent.vm_agent
    expected = {
        "without a": (0, 0),
        "with the present": (agent.term, agent.fence),
    }
    assert agent.term and agent.fence, (agent.term, agent.fence)
    assert context.worker.asked_with[0] == expected[how]


@when("{count:d} check-ins name other starts of the worker before its own")
def flooded(context: Context, count: int) -> None:
    context.worker.born_ms = 2

    async def play() -> None:
        for born_ms in (*range(100, 100 + count), context.worker.born_ms):
            instance = WorkerInstance(VM, INSTANCE.worker_id, born_ms)
            context.agent.on_check_in(_check_in(instance, "worker"))
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.3)

    context.loop.run_until_complete(play())


@then("the agent follows the worker's own")
def follows_own(context: Context) -> None:
    born_ms = context.agent.vm_agent.check_in.instance.born_ms
    assert born_ms == context.worker.born_ms, born_ms
