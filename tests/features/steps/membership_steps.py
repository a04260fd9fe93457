from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when

from yuccapoint.connection.entry_directory import EntryDirectory
from yuccapoint.connection.failure_detector import FailureDetector
from yuccapoint.connection.messages import EntryHeartbeat
from yuccapoint.version.compiled_tables import CompiledTables

if TYPE_CHECKING:
    from behave.runner import Context

HEARTBEAT_FIELDS = {
    "data_centre": "d",
    "region": "r",
    "operator_address": "",
    "tables_version": 0,
    "log_offset": 0,
    "stopping": False,
    "known_addresses": [],
}


def heartbeat(entry: str, address: str, **changes: object) -> EntryHeartbeat:
    fields = {**HEARTBEAT_FIELDS, **changes}
    return EntryHeartbeat(entry=entry, control_address=address, **fields)


@given(
    'an entry directory with a heartbeat of "{entry}" at {at_s:f} s'
    ' from "{address}"'
)
def make_directory(
    context: Context, entry: str, at_s: float, address: str
) -> None:
    context.directory = EntryDirectory([])
    context.directory.on_heartbeat(heartbeat(entry, address), at_s)


@when(
    'the directory receives a heartbeat of "{entry}" at {at_s:f} s'
    ' from "{address}"'
)
def receive_heartbeat(
    context: Context, entry: str, at_s: float, address: str
) -> None:
    context.directory.on_heartbeat(heartbeat(entry, address), at_s)


@when("the directory ticks every 0.05 s from {from_s:f} s to {to_s:f} s")
def tick_regularly(context: Context, from_s: float, to_s: float) -> None:
    now_s = from_s
    while now_s <= to_s:
        assert context.directory.tick(now_s) == 0.0
        now_s += 0.05


@when("the directory ticks next at {at_s:f} s")
def tick_next(context: Context, at_s: float) -> None:
    assert context.directory.tick(at_s) > 1.0


@when('the directory adds the address "{address}" from the log at {at_s:f} s')
def directory_adds_address(
    context: Context, address: str, at_s: float
) -> None:
    context.directory.add_address(address, at_s)


@then('the directory lists the address "{address}" at {at_s:f} s')
def lists_address(context: Context, address: str, at_s: float) -> None:
    assert address in context.directory.control_addresses(at_s)


@then('the directory does not list the address "{address}" at {at_s:f} s')
def does_not_list_address(context: Context, address: str, at_s: float) -> None:
    assert address not in context.directory.control_addresses(at_s)


@then('the directory\'s live entries at {at_s:f} s are "{entries}"')
def live_entries_are(context: Context, at_s: float, entries: str) -> None:
    found = [known.entry for known in context.directory.live_entries(at_s)]
    assert ",".join(found) == entries, found


@then("the directory has no live entries at {at_s:f} s")
def no_live_entries(context: Context, at_s: float) -> None:
    assert not context.directory.live_entries(at_s)


@given(
    'a failure detector with heartbeats of "{name}"'
    ' at intervals of "{intervals_s}" s'
)
def make_detector(context: Context, name: str, intervals_s: str) -> None:
    context.detector = FailureDetector()
    context.member = name
    context.now_s = 0.0
    context.detector.record_heartbeat(name, 1, 0.0)
    for interval_s in map(float, intervals_s.split(",")):
        context.now_s += interval_s
        context.detector.record_heartbeat(name, 1, context.now_s)


@then('the detector reports "{state}" after {silent_s:f} s of silence')
def detector_reports(context: Context, state: str, silent_s: float) -> None:
    at_s = context.now_s + silent_s
    found = context.detector.state(context.member, at_s)
    assert found.value == state, found


@when("the log is down and the second entry is restarted")
def restart_without_log(context: Context) -> None:
    deployment = context.deployment

    async def run() -> None:
        deployment.log.faults.down = True
        deployment.entries[1].kill()
        await asyncio.sleep(0.05)
        context.entry = deployment.add_entry(1)
        for _ in range(160):
            if context.entry.ready:
                return
            await asyncio.sleep(0.05)

    context.loop.run_until_complete(run())


@then("the restarted entry is ready with the tables of the first")
def has_tables(context: Context) -> None:
    tables = context.deployment.entries[0].cell.tables.current
    found = context.entry.cell.tables.current
    assert context.entry.ready and not context.entry.pump.caught_up
    assert found.version == tables.version > 0
    assert found.routes == tables.routes and found.pools == tables.pools


@then("older tables from another entry are not put in force")
def older_tables(context: Context) -> None:
    tables = context.entry.cell.tables
    before = tables.current
    assert not tables.install(CompiledTables(before.version - 1, [], []))
    tables.rebuild()
    assert tables.current is before
