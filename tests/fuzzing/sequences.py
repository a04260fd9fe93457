"""Fixed sequences of work and faults, registered by name."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec

from fuzzing.world import POOL
from fuzzing.world import World
from yuccapoint.connection.messages import AgentReport
from yuccapoint.connection.messages import LeaseGrant
from yuccapoint.connection.messages import TablesUpdate
from yuccapoint.job.size import Size
from yuccapoint.process.operator_messages import EditAnswer

if TYPE_CHECKING:
    from yuccapoint.connection.messages import ControlMessage
    from yuccapoint.version.pool import Pool

MAX_SPLIT_ATTEMPTS = 20
SMALL_SIZE = Size(1000, 1000, 0)
Sequence = Callable[[], World]
SEQUENCES: dict[str, Callable[[World], None]] = {}
DEPLOYMENT_SIZES: dict[str, tuple[int, int]] = {}


def sequence(
    name: str, entries: int = 2, vms: int = 3
) -> Callable[[Callable[[World], None]], Callable[[World], None]]:
    """Register a sequence and the size of its deployment."""

    def register(body: Callable[[World], None]) -> Callable[[World], None]:
        SEQUENCES[name] = body
        DEPLOYMENT_SIZES[name] = (entries, vms)
        return body

    return register


def run_sequence(name: str) -> None:
    """Run a sequence in a new world, then check the final state."""
    world = World(*DEPLOYMENT_SIZES[name])
    try:
        SEQUENCES[name](world)
        world.oracle.settle()
    finally:
        world.close()


def submit(world: World, run_s: float, size: Size = SMALL_SIZE) -> None:
    world.submit(0, team="large", size=size, command=f"run_s={run_s}")


def running_vm_index(world: World) -> int:
    """Return the index of the first VM that runs a task."""
    for index, host in enumerate(world.hosts):
        if host.model.tasks:
            return index
    raise AssertionError("no VM runs a task")


def split_leaders(world: World) -> None:
    """Restart members until each entry leads a VM."""
    for _ in range(MAX_SPLIT_ATTEMPTS):
        leaders = {agent.process.task_manager.leader for agent in world.agents}
        if len(leaders) == len(world.entries):
            return
        world.restart(world.entries[1])
        world.advance(4)
        for agent in list(world.agents):
            world.restart(agent)
        world.advance(4)
    raise AssertionError("one entry leads all VMs")


@sequence("a VM that runs a job is isolated")
def vm_is_isolated(world: World) -> None:
    submit(world, 30)
    world.advance(2)
    world.network.isolated_members.add(f"vm-{running_vm_index(world)}")
    world.advance(15)


@sequence("an entry loses the log for longer than its lease")
def entry_loses_log(world: World) -> None:
    split_leaders(world)
    submit(world, 3000)
    world.advance(5)
    vm = f"vm-{running_vm_index(world)}"
    for entry in world.entries:
        if entry.process.leader.leads(vm):
            world.network.members_without_log.add(entry.name)
    world.advance(930)
    world.cancel(0, "job-1")
    world.cancel(1, "job-1")


@sequence("two entries claim the same job")
def entries_race(world: World) -> None:
    split_leaders(world)
    for _ in range(3):
        submit(world, 2)
    world.advance(5)


@sequence("a start arrives after its job ran elsewhere")
def start_is_late(world: World) -> None:
    def hold_filter(message: ControlMessage) -> bool:
        return isinstance(message, LeaseGrant) and bool(message.starts)

    world.network.hold_filter = hold_filter
    submit(world, 1)
    while not world.network.held_packets:
        world.advance(0.1)
    world.network.hold_filter = None
    packet = world.network.held_packets[0]
    vm = world.network.members[packet.address].name
    world.network.isolated_members.add(vm)
    world.advance(12)
    world.network.isolated_members.clear()
    world.advance(4)
    world.network.release(reordered=False)
    world.advance(2)


@sequence("more jobs than fit on one VM", 1, 1)
def vm_is_full(world: World) -> None:
    for _ in range(3):
        submit(world, 2, Size(3000, 1000, 0))
    world.advance(8)


@sequence("a team submits more than its quota")
def team_exceeds_quota(world: World) -> None:
    for index in range(6):
        world.submit(index, team="small", size=SMALL_SIZE, command="run_s=3")
    world.advance(5)


@sequence("the log is down when a job ends")
def log_is_down_at_end(world: World) -> None:
    submit(world, 2)
    world.advance(1.5)
    world.log.faults.down = True
    world.advance(5)


@sequence("an agent restarts while a job runs on its VM")
def agent_restarts(world: World) -> None:
    submit(world, 20)
    world.advance(2)
    world.restart(world.agents[running_vm_index(world)])
    world.advance(10)


@sequence("requests overlap on one session", 1, 1)
def requests_overlap(world: World) -> None:
    world.set_route(name="quote", idempotent=True)
    for _ in range(4):
        world.request(0, "quote")
    world.advance(3)


@sequence("the only agent dies while a request runs", 1, 1)
def agent_dies(world: World) -> None:
    world.set_route(name="quote", idempotent=True, retry_ratio=0.0)
    world.endpoints[0].work_s = 2.0
    world.request(0, "quote")
    world.advance(0.5)
    world.kill(world.agents[0])
    world.advance(4)


@sequence("an agent dies while a booking runs")
def agent_dies_during_booking(world: World) -> None:
    world.set_route(name="book", retry_ratio=1.0)
    for endpoint in world.endpoints:
        endpoint.work_s = 2.0
    world.request(0, "book", at_most_once=True)
    world.advance(0.5)
    for index, endpoint in enumerate(world.endpoints):
        if endpoint.running:
            world.kill(world.agents[index])
    world.advance(4)


@sequence("a booking is retried with its key at another entry")
def booking_is_repeated(world: World) -> None:
    world.set_route(name="once", once="log")
    world.request(0, "once", "key-1", at_most_once=True)
    world.advance(1)
    for agent in list(world.agents):
        world.restart(agent)
    world.advance(4)
    world.request(1, "once", "key-1", at_most_once=True)
    world.advance(2)


@sequence("an endpoint leaves under load", 2, 2)
def endpoint_leaves(world: World) -> None:
    world.set_route(name="quote", idempotent=True)
    world.leave(0)
    world.advance(6)
    for _ in range(8):
        world.request(0, "quote")
        world.request(1, "quote")
        world.advance(0.3)


def edit_pool(world: World, version: int, row: Pool) -> int:
    exchange = world.edit(0, "pools", "pool", version, row)
    world.advance(4)
    return msgspec.json.decode(exchange.body, type=EditAnswer).version


@sequence("a table update arrives after a newer one")
def update_is_late(world: World) -> None:
    def hold_filter(message: ControlMessage) -> bool:
        return isinstance(message, TablesUpdate)

    world.network.hold_filter = hold_filter
    row = msgspec.structs.replace(POOL, max_attempts=8)
    version = edit_pool(world, 1, row)
    world.network.hold_filter = None
    row = msgspec.structs.replace(POOL, max_attempts=9)
    edit_pool(world, version, row)
    world.network.release(reordered=False)
    world.advance(1)


@sequence("two operators edit the same row")
def operators_race(world: World) -> None:
    for index in (0, 1):
        row = msgspec.structs.replace(POOL, max_attempts=7 + index)
        world.edit(index, "pools", "pool", 1, row)
    world.advance(2)


@sequence("an entry dies with a pending edit while the log is down")
def entry_dies_with_edit(world: World) -> None:
    world.log.faults.down = True
    row = msgspec.structs.replace(POOL, max_attempts=7)
    world.edit(0, "pools", "pool", 1, row)
    world.advance(1)
    world.kill(world.entries[0])


def stop_under_load(world: World, *, agent: bool) -> None:
    world.set_route(name="book")
    for endpoint in world.endpoints:
        endpoint.work_s = 1.0
    for _ in range(8):
        world.request(0, "book", at_most_once=True)
    world.advance(0.3)
    if not agent:
        world.stop(world.entries[0])
        return
    for index, endpoint in enumerate(world.endpoints):
        if endpoint.running:
            world.stop(world.agents[index])
            return


@sequence("an entry shuts down under load")
def entry_stops(world: World) -> None:
    stop_under_load(world, agent=False)


@sequence("an agent shuts down under load")
def agent_stops(world: World) -> None:
    stop_under_load(world, agent=True)


@sequence("a job ends while its agent is replaced")
def job_ends_without_agent(world: World) -> None:
    submit(world, 3)
    world.advance(2)
    index = running_vm_index(world)
    world.kill(world.agents[index])
    world.advance(2)
    world.start_agent(index)
    world.advance(8)
    for entry in world.entries:
        found = entry.process.cell.board.jobs["job-1"]
        if found.attempt > 1:
            world.oracle.fail("done_job_ran_again", f"job-1 {found.attempt}")


@sequence("the response to a start is lost")
def start_answer_is_lost(world: World) -> None:
    for host in world.hosts:
        host.lost_responses = 1
    submit(world, 5)
    world.advance(20)


@sequence("an agent stops while requests are in transit", 1, 1)
def agent_stops_before_arrival(world: World) -> None:
    world.set_route(name="book")
    world.request(0, "book", at_most_once=True)
    world.advance(2)
    world.request(0, "book", at_most_once=True)
    world.stop(world.agents[0])


@sequence("records expire while an entry is disconnected")
def records_age_out(world: World) -> None:
    world.network.members_without_log.add("entry-1")
    submit(world, 400)
    for number in range(20):
        submit(world, 0.5)
        row = msgspec.structs.replace(POOL, max_attempts=2 + number % 2)
        tables = world.entries[0].process.cell.tables
        world.edit(0, "pools", "pool", tables.pools["pool"].version, row)
        world.advance(8)
    world.log.store.max_records = 60
    submit(world, 1)
    world.advance(10)
    assert world.log.store.earliest_offset
    world.network.members_without_log.clear()
    world.advance(10)
    world.restart(world.entries[0])


@sequence("jobs that always fail are queued before a valid one")
def good_job_waits(world: World) -> None:
    size = Size(2000, 2000, 1)
    for _ in range(8):
        world.submit(
            0, team="large", size=size, command="fails=1", urgent=True
        )
    world.advance(2)
    good = world.submit(0, team="large", size=size, command="run_s=1")
    world.advance(200)
    board = world.entries[0].process.cell.board
    if not board.jobs[good.name].state.final:
        world.oracle.fail("job_lost", "a valid job waits behind failing ones")


@sequence("a report names an unknown endpoint state")
def state_is_unknown(world: World) -> None:
    def hold_filter(message: ControlMessage) -> bool:
        return isinstance(message, AgentReport) and bool(message.endpoints)

    world.network.hold_filter = hold_filter
    world.advance(2)
    world.network.hold_filter = None
    packet = world.network.held_packets.pop()
    report = packet.message
    unknown = msgspec.structs.replace(report.endpoints[0], state="unknown")
    report = msgspec.structs.replace(report, endpoints=[unknown])
    member = world.network.members[packet.address]
    member.call(
        member.process.control_channel.receive, msgspec.msgpack.encode(report)
    )
    world.advance(1)
