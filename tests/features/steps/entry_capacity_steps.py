from __future__ import annotations

from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when
from lost_with_leader_steps import _leaders

from cell_world.world import World
from yuccapoint.cell.cell_records import EntryMember
from yuccapoint.cell.cell_records import Leadership
from yuccapoint.cell.entry_capacity import EntryCapacity
from yuccapoint.cell.leader_election import LeaderElection

if TYPE_CHECKING:
    from behave.runner import Context

    from cell_world.entry_model import EntryModel

NARROW = EntryCapacity(516, 20_000)
WIDE = EntryCapacity(2_150, 200_000)
ENTRIES = 4
# The wide processor takes this share of the narrow one's time.
WIDE_TIME_SHARE = 0.24
READ_INTERVAL_S = 0.1
MS_PER_S = 1_000


def _capacity(text: str) -> EntryCapacity:
    millicores, link_mbps = text.split("/")
    return EntryCapacity(int(millicores), 1_000 * int(link_mbps))


def _first(entries: list[EntryModel]) -> EntryModel:
    """Return the entry that the spread of takeovers favours."""
    return min(entries, key=lambda e: e.process._leader_election._stagger_s)


@given(
    "{count:d} cells of {vms:d} VMs with a narrow entry that takes"
    " {message_ms:d} ms for a message"
)
def make_cells(
    context: Context, count: int, vms: int, message_ms: int
) -> None:
    context.worlds = []
    context.narrow = {}
    for seed in range(1, count + 1):
        world = World(seed, vms, ENTRIES)
        narrow = _first(world.entries)
        context.narrow[seed] = narrow
        for entry in world.entries:
            is_narrow = entry is narrow
            entry.capacity = NARROW if is_narrow else WIDE
            processor = entry.processor
            processor.message_s = message_ms / MS_PER_S
            if not is_narrow:
                processor.message_s *= WIDE_TIME_SHARE
            with world.clock.installed():
                entry.restart()
        world.run(6.0)
        context.worlds.append((seed, world))


@when(
    "all lose power for {seconds:d} s, and the other entries for {more:d} s"
    " more"
)
def lose_power(context: Context, seconds: int, more: int) -> None:
    for seed, world in context.worlds:
        narrow = context.narrow[seed]
        for entry in world.entries:
            entry.kill()
            gone_s = seconds if entry is narrow else seconds + more
            world.after(gone_s, entry.restart)
        back_s = world.now_s + seconds
        for agent in world.agents.values():
            agent.frozen_until_s = back_s
            agent.restart(back_s)
        world.run(seconds + more)


@when("all wide entries are gone for {seconds:d} s")
def lose_wide_entries(context: Context, seconds: int) -> None:
    for seed, world in context.worlds:
        for entry in world.entries:
            if entry is not context.narrow[seed]:
                entry.kill()
                world.after(seconds, entry.restart)


@then("the narrow entry leads each cell")
def narrow_leads(context: Context) -> None:
    for seed, world in context.worlds:
        assert _leaders(world) == [context.narrow[seed]], seed


@then("a wide entry leads each cell")
def wide_leads(context: Context) -> None:
    for seed, world in context.worlds:
        leaders = _leaders(world)
        assert len(leaders) == 1, (seed, leaders)
        assert leaders[0] is not context.narrow[seed], seed


@given(
    "an entry of {own} that reads the store, with registered entries of"
    " {others}"
)
def election(context: Context, own: str, others: str) -> None:
    context.now_s = 100.0
    context.election = LeaderElection("e-0", 1, 0.0)
    context.election.replacement.capacity = _capacity(own)
    members = {
        f"e-{number}": EntryMember(
            f"e-{number}", f"e-{number}", 1, _capacity(text)
        )
        for number, text in enumerate(others.split(" and "), 1)
    }
    context.election.replacement.follow_entries(members)


def _read(context: Context, newest: Leadership) -> None:
    context.election.on_records_read(newest, context.now_s)
    context.tried |= context.election.should_take_over(context.now_s)


@when("e-1 has led for {seconds:d} s")
def has_led(context: Context, seconds: int) -> None:
    context.tried = False
    for number in range(round(seconds / READ_INTERVAL_S)):
        context.now_s += READ_INTERVAL_S
        _read(context, Leadership(3, "e-1", 1, number))


@then("it {replaces} e-1")
def replaced(context: Context, replaces: str) -> None:
    assert context.tried is (replaces == "replaces"), context.tried


@then("it takes over {delay_s:f} s after the first moment if e-1 resigns")
def takes_over_after(context: Context, delay_s: float) -> None:
    resigned = Leadership(3, "e-1", 1, 999, resigned=True)
    context.now_s += READ_INTERVAL_S
    resigned_at_s = context.now_s
    context.tried = False
    while not context.tried:
        _read(context, resigned)
        context.now_s += READ_INTERVAL_S
        assert context.now_s < resigned_at_s + 3.0
    waited_s = context.now_s - READ_INTERVAL_S - resigned_at_s
    assert abs(waited_s - delay_s) < READ_INTERVAL_S, waited_s


@given("{count:d} entries of {own} that follow a leader of {other}")
def followers(context: Context, count: int, own: str, other: str) -> None:
    leader = EntryMember("leader", "leader", 1, _capacity(other))
    context.replaced_at_s = []
    for number in range(count):
        follower = LeaderElection(f"e-{number}", 1, number / count)
        follower.replacement.capacity = _capacity(own)
        follower.replacement.follow_entries({"leader": leader})
        now_s = 100.0
        for renewal in range(100):
            now_s += READ_INTERVAL_S
            follower.on_records_read(
                Leadership(3, "leader", 1, renewal), now_s
            )
            if follower.should_take_over(now_s):
                context.replaced_at_s.append(now_s)
                break


@then("they replace it at times that are spread over {seconds:d} s or more")
def spread(context: Context, seconds: int) -> None:
    times_s = context.replaced_at_s
    assert len(times_s) == 12, times_s
    assert max(times_s) - min(times_s) >= seconds, times_s
