from __future__ import annotations

from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when
from entry_capacity_steps import MS_PER_S
from entry_capacity_steps import NARROW
from entry_capacity_steps import WIDE
from entry_capacity_steps import WIDE_TIME_SHARE

from cell_world.world import World
from yuccapoint.cell import lease_bounds
from yuccapoint.cell.cell_messages import LeaderOrders
from yuccapoint.cell.step_spec import StepSpec
from yuccapoint.cell.vm_agent import VmAgent
from yuccapoint.job.size import Size

if TYPE_CHECKING:
    from behave.runner import Context

LASTING_STEP = StepSpec(3, Size(300, 2**20, 0), 1_500, long_running=True)
SIZE = Size(300, 2**20, 0)
# Processor time of a control message and of a record, in ratings of a VM.
RATINGS_PER_MESSAGE = 10
RATINGS_PER_RECORD = 1
SOUND = "sound"
# Processor time of narrow entries for a rating and for a record.
NARROW_RATING_S = 0.0001
NARROW_RECORD_S = 0.0002
# Every this many entries have settings that tell what their machine carries.
KNOWN_CAPACITIES = {"known": 1, "partly known": 2}


@given(
    "a cell of {vms:d} VMs whose entries rate {rate} VMs a second for"
    " seeds {first:d}-{last:d}"
)
def make_cells(
    context: Context, vms: int, rate: str, first: int, last: int
) -> None:
    context.worlds = []
    for seed in range(first, last + 1):
        world = World(seed, vms)
        for entry in world.entries:
            processor = entry.processor
            processor.rating_s = 1 / int(rate)
            processor.message_s = RATINGS_PER_MESSAGE * processor.rating_s
            processor.record_s = RATINGS_PER_RECORD * processor.rating_s
        world.run(3.0)
        context.worlds.append((seed, world))


@given(
    "a cell of {vms:d} VMs and {entries:d} entries of {capacities} capacities,"
    " of which narrow ones take {message_ms:d} ms for a message, for seed"
    " {seed:d}"
)
def make_mixed_cell(
    context: Context,
    vms: int,
    entries: int,
    capacities: str,
    message_ms: int,
    seed: int,
) -> None:
    world = World(seed, vms, entries)
    known_interval = KNOWN_CAPACITIES.get(capacities, entries + 1)
    for number, entry in enumerate(world.entries, 1):
        is_narrow = number % 2 == 0
        share = 1.0 if is_narrow else WIDE_TIME_SHARE
        entry.processor.message_s = share * message_ms / MS_PER_S
        entry.processor.rating_s = share * NARROW_RATING_S
        entry.processor.record_s = share * NARROW_RECORD_S
        if number % known_interval == 0:
            entry.capacity = NARROW if is_narrow else WIDE
        with world.clock.installed():
            entry.restart()
    world.run(3.0)
    context.worlds = [(seed, world)]


@given("{jobs:d} jobs of {tasks:d} tasks wait")
def submit_backlog(context: Context, jobs: int, tasks: int) -> None:
    step = StepSpec(tasks, SIZE, 1_500)
    for _, world in context.worlds:
        for _ in range(jobs):
            world.submit(steps=(step,), payload=SOUND)


@given("it works on {jobs:d} long-running jobs")
def submit_lasting(context: Context, jobs: int) -> None:
    for _, world in context.worlds:
        for _ in range(jobs):
            world.submit(steps=(LASTING_STEP,), payload=SOUND)
        world.run(8.0)


@when(
    "all lose power for {seconds:d} s while {jobs:d} jobs of {tasks:d} tasks"
    " wait"
)
def lose_power(context: Context, seconds: int, jobs: int, tasks: int) -> None:
    step = StepSpec(tasks, SIZE, 1_500)
    _lose_power(context, seconds, [step] * jobs)


@when(
    "all lose power for {seconds:d} s while {jobs:d} jobs of many sizes wait"
)
def lose_power_many_sizes(context: Context, seconds: int, jobs: int) -> None:
    steps = []
    for number in range(jobs):
        # None of them is as large as another in both dimensions.
        size = Size(300 + number, (jobs - number) * 2**20, 0)
        steps.append(StepSpec(1, size, 1_500))
    _lose_power(context, seconds, steps)


def _lose_power(context: Context, seconds: int, steps: list[StepSpec]) -> None:
    context.back_at_s = {}
    for seed, world in context.worlds:
        for step in steps:
            world.submit(steps=(step,), payload=SOUND)
        world.run(0.5)
        for entry in world.entries:
            entry.kill()
            world.after(seconds, entry.restart)
        back_s = world.now_s + seconds
        for agent in world.agents.values():
            agent.frozen_until_s = back_s
            agent.restart(back_s)
        for worker in world.workers:
            worker.crash(world.now_s)
            world.after(
                seconds,
                lambda worker=worker, world=world: worker.begin_instance(
                    world.now_s
                ),
            )
        context.back_at_s[seed] = back_s


def _leader_lines(world: World, text: str) -> list[tuple[float, dict]]:
    return [
        (at_s, fields)
        for entry in world.entries
        for at_s, line, fields in entry.log.leader_lines
        if line == text
    ]


@then("a leader's statistics tell of a round of {least_ms:d} ms or more")
def long_round(context: Context, least_ms: int) -> None:
    for seed, world in context.worlds:
        lines = _leader_lines(world, "term statistics")
        rounds_ms = [
            fields["longest_round_ms"]
            for at_s, fields in lines
            if at_s > context.back_at_s[seed]
        ]
        assert max(rounds_ms, default=0) >= least_ms, (seed, rounds_ms)


@then("no round of a leader took longer than {limit_ms:d} ms")
def bounded_rounds(context: Context, limit_ms: int) -> None:
    for seed, world in context.worlds:
        rounds_ms = [
            fields["longest_round_ms"]
            for _, fields in _leader_lines(world, "term statistics")
        ]
        assert rounds_ms, seed
        assert max(rounds_ms) <= limit_ms, (seed, rounds_ms)


@then("no entry has taken over from a leader that was up")
def one_leader(context: Context) -> None:
    for seed, world in context.worlds:
        took_over = [
            at_s
            for at_s, _ in _leader_lines(world, "leadership acquired")
            if at_s > context.back_at_s[seed]
        ]
        assert len(took_over) == 1, (seed, took_over)


@given("an agent whose report of {delay_s:f} s ago is answered with a lease")
def late_lease(context: Context, delay_s: float) -> None:
    context.now_s = 10.0
    context.delay_s = delay_s
    context.agent = VmAgent("vm-0", "vm-0", 1, context.now_s)
    _answer_late(context)


@when("another such lease arrives {seconds:f} s later")
def another_late_lease(context: Context, seconds: float) -> None:
    context.now_s += seconds - context.delay_s
    _answer_late(context)


def _answer_late(context: Context) -> None:
    report = context.agent.build_report(context.now_s)
    context.now_s += context.delay_s
    context.agent.on_orders(
        LeaderOrders(
            vm="vm-0",
            term=1,
            leader="e-0",
            address="e-0",
            sequence=report.sequence,
            answers=report.sequence,
            agent_incarnation=report.incarnation,
            lease_ms=int(lease_bounds.VM_LEASE_S * 1000),
            instance=None,
            acked_end_number=0,
            starts=(),
            awaited=(),
            stops=(),
            traits=(),
            pairs=(),
        ),
        context.now_s,
    )


@then('its log has {count:d} line with "{text}" and report_ms_ago {age_ms:d}')
def late_lines(context: Context, count: int, text: str, age_ms: int) -> None:
    ages_ms = [
        line.fields["report_ms_ago"]
        for line in context.agent.explanations
        if line.text == text
    ]
    assert ages_ms == [age_ms] * count, ages_ms
