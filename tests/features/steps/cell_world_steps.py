from __future__ import annotations

import pathlib
import sys
from typing import TYPE_CHECKING
from unittest import mock

from behave import given
from behave import then
from behave import when

sys.path.append(str(pathlib.Path(__file__).parents[2]))

from cell_world.world import DISRUPTIONS  # noqa: E402
from cell_world.world import World  # noqa: E402
from yuccapoint.cell import lease_bounds  # noqa: E402
from yuccapoint.cell import run_end_handler  # noqa: E402
from yuccapoint.cell.crash_history import CrashHistory  # noqa: E402
from yuccapoint.cell.job_gateway import GatewayResult  # noqa: E402
from yuccapoint.cell.occurrence_run import OccurrenceRun  # noqa: E402
from yuccapoint.cell.queue_changes import QueueChanges  # noqa: E402
from yuccapoint.cell.run_registry import RunRegistry  # noqa: E402
from yuccapoint.cell.silent_vms import SilentVms  # noqa: E402
from yuccapoint.cell.step_run import StepRun  # noqa: E402
from yuccapoint.cell.task_run import TaskRun  # noqa: E402
from yuccapoint.cell.vm_candidate import VmCandidate  # noqa: E402
from yuccapoint.cell.vm_ledger import VmLedger  # noqa: E402
from yuccapoint.job.size import Size  # noqa: E402
from yuccapoint.process import term_yield  # noqa: E402
from yuccapoint.process.cell_job_gateway import CellJobGateway  # noqa: E402

if TYPE_CHECKING:
    from behave.runner import Context

    from cell_world.entry_model import EntryModel


def _no_failures(self, value):
    del self, value


def _refuse_unanswered(self, key, result):
    del self, key
    if result is GatewayResult.MAY_BE_ACCEPTED:
        return GatewayResult.REFUSED
    return result


_collect_silent = SilentVms.collect


def _name_and_forget(self, vms, now_s):
    vms = list(vms)
    named = _collect_silent(self, vms, now_s)
    for vm in vms:
        vm.named_silent = False
    return named


SEEDED_FAULTS = {
    "leases of lost VMs ignored": lambda: mock.patch.object(
        lease_bounds, "granted_until_s", lambda at_s: at_s + 1.0
    ),
    "steps start in any order": lambda: mock.patch.object(
        OccurrenceRun, "is_ready", lambda self, step: True
    ),
    "attempts are not counted": lambda: mock.patch.object(
        TaskRun, "failures", property(lambda self: 0, _no_failures)
    ),
    "room is not counted": lambda: mock.patch.object(
        VmLedger, "used", property(lambda self: Size())
    ),
    "shrunk room counts in full": lambda: mock.patch.object(
        VmLedger,
        "available",
        property(lambda self: Size(4_000, 2**34, 0) - self.used),
    ),
    "labels are not looked at": lambda: mock.patch.object(
        VmCandidate, "labels", property(lambda self: ("r1",), _no_failures)
    ),
    "jobs complete too early": lambda: mock.patch.object(
        StepRun, "finished", property(lambda self: self.done > 0)
    ),
    "reported ends count as acknowledged": lambda: mock.patch.object(
        RunRegistry,
        "unforgotten_ack",
        property(lambda self: max(self._ends, default=0)),
    ),
    "crashes are not counted": lambda: mock.patch.object(
        CrashHistory, "note_crash", lambda self, run, *, started: False
    ),
    "leases of silent VMs ignored": lambda: mock.patch.object(
        lease_bounds, "remaining_until_s", lambda at_s, remaining_ms: at_s
    ),
    "silent VMs get leases": lambda: mock.patch.object(
        SilentVms, "collect", _name_and_forget
    ),
    "failed runs are retried late": lambda: mock.patch.object(
        run_end_handler, "RETRY_DELAY_S", 20.0
    ),
    "unanswered jobs are refused": lambda: mock.patch.object(
        CellJobGateway, "_truthful", _refuse_unanswered
    ),
    "configs are not applied to accepted jobs": lambda: mock.patch.object(
        QueueChanges, "run", lambda self, now_s: None
    ),
    "a leader that can't read leads on": lambda: mock.patch.object(
        term_yield, "MAX_UNREAD_S", float("inf")
    ),
}


@given("a cell of {vms:d} VMs and {entries:d} entries for seeds {seeds}")
def make_worlds(context: Context, vms: int, entries: int, seeds: str) -> None:
    first, _, last = seeds.partition("-")
    context.worlds = [
        (seed, World(seed, vms, entries))
        for seed in range(int(first), int(last or first) + 1)
    ]


@given(
    "a cell of {vms:d} VMs in two pools and {entries:d} entries"
    " for seeds {seeds}"
)
def make_two_pool_worlds(
    context: Context, vms: int, entries: int, seeds: str
) -> None:
    first, _, last = seeds.partition("-")
    context.worlds = [
        (seed, World(seed, vms, entries, two_pools=True))
        for seed in range(int(first), int(last or first) + 1)
    ]


@given(
    "a cell of {vms:d} VMs and {entries:d} entries that gets only tasks"
    " that last for seeds {seeds}"
)
def make_lasting_worlds(
    context: Context, vms: int, entries: int, seeds: str
) -> None:
    first, _, last = seeds.partition("-")
    context.worlds = [
        (seed, World(seed, vms, entries, lasting_only=True))
        for seed in range(int(first), int(last or first) + 1)
    ]


@given(
    "a cell of {vms:d} VMs and {entries:d} entries that gets only tasks"
    " that last, with planned work taken for calm, for seeds {seeds}"
)
def make_strict_worlds(
    context: Context, vms: int, entries: int, seeds: str
) -> None:
    first, _, last = seeds.partition("-")
    context.worlds = [
        (
            seed,
            World(seed, vms, entries, lasting_only=True, planned_is_calm=True),
        )
        for seed in range(int(first), int(last or first) + 1)
    ]


@given('the program has the fault "{fault}"')
def seed_fault(context: Context, fault: str) -> None:
    patch = SEEDED_FAULTS[fault]()
    patch.start()
    context.cleanups.append(patch.stop)


@when('jobs are submitted for {seconds:d} s with disruptions "{disruptions}"')
def run_disrupted(context: Context, seconds: int, disruptions: str) -> None:
    chosen: tuple[str, ...] = ()
    for name in disruptions.split(" and "):
        chosen += DISRUPTIONS if name == "all" else (name,)
    for _, world in context.worlds:
        world.run(3.0)
        world.run(seconds, chosen)


@when(
    "the queue moves to the other pool,"
    " and jobs are submitted for {seconds:d} s"
)
def move_queue(context: Context, seconds: int) -> None:
    for _, world in context.worlds:
        world.run(3.0)
        # More than the other pool can start before the config is read.
        for _ in range(30):
            world.submit()
        world.run(1.0)
        world.move_queue()
        for _ in range(seconds):
            world.submit()
            world.run(1.0)


@when("the cell is undisturbed for {seconds:d} s")
def calm(context: Context, seconds: int) -> None:
    for _, world in context.worlds:
        world.run(seconds)


@then("no guarantee of the cell is violated")
def no_violation(context: Context) -> None:
    for seed, world in context.worlds:
        assert not world.oracle.violations, (seed, world.oracle.violations[:5])
        assert world.oracle.starts > 20, (seed, world.oracle.starts)


@then('the guarantee "{rule}" of the cell is violated')
def violations(context: Context, rule: str) -> None:
    seen = {
        text.partition(":")[0]
        for _, world in context.worlds
        for text in world.oracle.violations
    }
    assert rule in seen, seen


@then("all jobs of the cell have ended or are running")
def ended(context: Context) -> None:
    for seed, world in context.worlds:
        # A task that has just failed is about to be retried.
        for _ in range(30):
            if not world.unfinished():
                break
            world.run(0.2)
        left = world.unfinished()
        assert not left, (seed, left[:5])


def _log_texts(entry: EntryModel) -> list[str]:
    return [text for _, _, text, _ in entry.log.lines]


@given("{entries:d} entries of which both tried to lead the first term")
def race(context: Context, entries: int) -> None:
    context.world = World(1, 1, entries)
    # Each attempt is on its way when the other begins.
    context.world.store.travel_factor = 20.0
    context.world.run(4.0)
    context.world.store.travel_factor = 1.0
    context.world.run(1.0)
    leaders = [e for e in context.world.entries if e.leader is not None]
    assert len(leaders) == 1, leaders
    for entry in context.world.entries:
        assert "attempting takeover" in _log_texts(entry), entry.name


@when("the leader ends, and the other's takeover is stored but unanswered")
def lose_takeover(context: Context) -> None:
    world = context.world
    for entry in world.entries:
        if entry.leader is None:
            context.other = entry
        else:
            entry.kill()
    world.store.lost_share = 1.0
    for _ in range(100):
        world.run(0.1)
        if context.other.leader is not None:
            break
    assert context.other.leader is not None
    # The attempt is given up, and the first batch is sent.
    world.run(2.0)


@when("the store answers again for {seconds:d} s")
def store_answers(context: Context, seconds: int) -> None:
    context.world.store.lost_share = 0.0
    context.world.run(seconds)


@then("the other entry has led without interruption")
def led_on(context: Context) -> None:
    texts = _log_texts(context.other)
    assert context.other.leader is not None, texts
    assert texts.count("leadership acquired") == 1, texts
    assert "stepping down" not in texts, texts
