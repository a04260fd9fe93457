from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when

from yuccapoint.connection.entry_directory import EntryDirectory
from yuccapoint.connection.failure_detector import FailureDetector
from yuccapoint.connection.messages import EntryHello
from yuccapoint.version.compiled_tables import CompiledTables

if TYPE_CHECKING:
    from behave.runner import Context

HELLO = {
    "data_centre": "d",
    "region": "r",
    "operator_address": "",
    "tables_version": 0,
    "log_offset": 0,
    "stopping": False,
    "known_addresses": [],
}


def hello(entry: str, address: str, **changes: object) -> EntryHello:
    fields = {**HELLO, **changes}
    return EntryHello(entry=entry, control_address=address, **fields)


@given(
    'an entry directory that heard "{entry}" at {at_s:f} s from "{address}"'
)
def given_directory(
    context: Context, entry: str, at_s: float, address: str
) -> None:
    context.directory = EntryDirectory([])
    context.directory.on_hello(hello(entry, address), at_s)


@when('the directory hears "{entry}" at {at_s:f} s from "{address}"')
def hears(context: Context, entry: str, at_s: float, address: str) -> None:
    context.directory.on_hello(hello(entry, address), at_s)


@when("the directory runs each 0.05 s from {from_s:f} s to {to_s:f} s")
def runs(context: Context, from_s: float, to_s: float) -> None:
    now_s = from_s
    while now_s <= to_s:
        assert context.directory.tick(now_s) == 0.0
        now_s += 0.05


@when("the directory runs next at {at_s:f} s")
def runs_next(context: Context, at_s: float) -> None:
    assert context.directory.tick(at_s) > 1.0


@when('the directory learns "{address}" from the log at {at_s:f} s')
def learns(context: Context, address: str, at_s: float) -> None:
    context.directory.learn(address, at_s)


@then('the directory tries "{address}" at {at_s:f} s')
def tries(context: Context, address: str, at_s: float) -> None:
    assert address in context.directory.addresses(at_s)


@then('the directory does not try "{address}" at {at_s:f} s')
def tries_not(context: Context, address: str, at_s: float) -> None:
    assert address not in context.directory.addresses(at_s)


@then('the directory\'s live entries at {at_s:f} s are "{entries}"')
def live(context: Context, at_s: float, entries: str) -> None:
    found = [known.entry for known in context.directory.alive(at_s)]
    assert ",".join(found) == entries, found


@then("the directory has no live entries at {at_s:f} s")
def none_live(context: Context, at_s: float) -> None:
    assert not context.directory.alive(at_s)


@given('a failure detector that hears "{name}" with gaps "{gaps}" s')
def given_detector(context: Context, name: str, gaps: str) -> None:
    context.detector = FailureDetector()
    context.member = name
    context.now_s = 0.0
    context.detector.heard(name, 1, 0.0)
    for gap in map(float, gaps.split(",")):
        context.now_s += gap
        context.detector.heard(name, 1, context.now_s)


@then('the detector says "{state}" after {silent_s:f} s of silence')
def detector_says(context: Context, state: str, silent_s: float) -> None:
    at_s = context.now_s + silent_s
    found = context.detector.state(context.member, at_s)
    assert found.value == state, found


@when("the log is down and the second entry is started anew")
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


@then("the new entry is ready with the tables of the first")
def has_tables(context: Context) -> None:
    tables = context.deployment.entries[0].cell.tables.current
    found = context.entry.cell.tables.current
    assert context.entry.ready and not context.entry.pump.caught_up
    assert found.version == tables.version > 0
    assert found.routes == tables.routes and found.pools == tables.pools


@then("an older loan of tables is not put in force")
def older_loan(context: Context) -> None:
    tables = context.entry.cell.tables
    before = tables.current
    assert not tables.install(CompiledTables(before.version - 1, [], []))
    tables.rebuild()
    assert tables.current is before
