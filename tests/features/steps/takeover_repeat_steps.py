from __future__ import annotations

import pathlib
import sys
from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when

sys.path.append(str(pathlib.Path(__file__).parents[2]))

from cell_world.world import STEP_S  # noqa: E402
from cell_world.world import World  # noqa: E402
from yuccapoint.cell import cell_records  # noqa: E402
from yuccapoint.cell import lease_bounds  # noqa: E402
from yuccapoint.cell.leader_election import LeaderElection  # noqa: E402

if TYPE_CHECKING:
    from behave.runner import Context


@given(
    "an entry whose first attempt to lead term {term:d} at {at_s:f} s is"
    " unanswered"
)
def try_takeover(context: Context, term: int, at_s: float) -> None:
    context.leader_election = LeaderElection("e-1", 1, 0.0)
    context.leader_election.on_takeover_sent(term, at_s)


@when("its attempt to lead term {term:d} at {at_s:f} s is answered")
def repeat_takeover(context: Context, term: int, at_s: float) -> None:
    context.leader_election.on_takeover_sent(term, at_s)
    context.leader_election.on_takeover_answered()


@then("it may grant leases until {until_s:f} s")
def grants_until(context: Context, until_s: float) -> None:
    assert context.leader_election.leader_lease_until_s == until_s


@given("the simulated cell with seed {seed:d} and {vms:d} VMs")
def make_cell(context: Context, seed: int, vms: int) -> None:
    context.world = World(seed, vms, lasting_only=True)
    context.world.run(3.0)


def _note_stored(world: World, stored_at_s: dict, offset: int) -> int:
    """Note when leadership records are stored; return the end offset."""
    for key, value in world.store.records[offset:]:
        if key == cell_records.LEADERSHIP and value is not None:
            record = cell_records.decode(key, value)
            stored_at_s[record.entry, record.incarnation] = world.now_s
    return len(world.store.records)


@when('{seconds:d} s pass with disruptions "{kinds}"')
def pass_disrupted(context: Context, seconds: int, kinds: str) -> None:
    world = context.world
    context.excess = []
    stored_at_s: dict[tuple[str, int], float] = {}
    offset = _note_stored(world, stored_at_s, 0)
    step = world.step

    def checked_step() -> None:
        nonlocal offset
        step()
        offset = _note_stored(world, stored_at_s, offset)
        for entry in world.entries:
            election = entry.process._leader_election
            if not entry.alive or entry.leader is None or not election.leads():
                continue
            newest_s = stored_at_s[entry.name, entry.process.incarnation]
            excess_s = election.leader_lease_until_s - newest_s
            excess_s -= lease_bounds.LEADER_LEASE_S + 1.5 * STEP_S
            if excess_s > 0:
                context.excess.append((world.now_s, entry.name, excess_s))

    world.step = checked_step
    world.run(float(seconds), tuple(kinds.split(",")))


@then("no leader's right to grant outlasted its newest record by 2.5 s")
def no_excess(context: Context) -> None:
    assert not context.excess, context.excess[:3]
