from __future__ import annotations

import random
from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when
import msgspec

from yuccapoint.connection.messages import EntryHeartbeat
from yuccapoint.job.records import PoolEdited
from yuccapoint.job.records import RouteEdited
from yuccapoint.version.compiled_version import CompiledVersion
from yuccapoint.version.held_tables import HeldTables
from yuccapoint.version.pool import Pool
from yuccapoint.version.route import Route
from yuccapoint.version.table_feed import TableFeed
from yuccapoint.version.table_lender import TableLender
from yuccapoint.version.tables import Tables

if TYPE_CHECKING:
    from behave.runner import Context

SEED = 5


class Editor:
    """Edits tables of some pools at random."""

    def __init__(self, pools: int) -> None:
        self.rng = random.Random(SEED)
        self.tables = Tables()
        self.feed = TableFeed(self.tables)
        self.offset = 0
        self.records = 0
        for number in range(pools):
            name = f"p{number}"
            self._apply(PoolEdited(name, 0, name, "o", Pool(name=name)))
        for number in range(20 * pools):
            self.edit(f"r{number}")

    def edit(self, name: str = "") -> None:
        name = name or f"r{self.rng.randrange(20 * len(self.tables.pools))}"
        row = self.tables.routes.get(name)
        if row is not None and row.version == self.offset + 1:
            self.offset += 1
        pool = self.rng.choice(list(self.tables.pools))
        route: Route | None = Route(
            name=name,
            prefix=f"/{name}",
            service="s",
            pool=pool,
            timeout_s=self.rng.uniform(1, 9),
        )
        if row is not None and self.rng.random() < 0.1:
            route = None
        version = row.version if row else 0
        edit_id = f"e{self.records}"
        self._apply(RouteEdited(name, version, edit_id, "o", route))

    def rows(self, pool: str) -> list[Route]:
        rows = self.tables.routes.values()
        return sorted(
            (row.row for row in rows if row.row.pool == pool),
            key=lambda route: route.name,
        )

    def _apply(self, record: RouteEdited | PoolEdited) -> None:
        refusal = self.tables.apply(record, self.offset)
        assert not refusal, refusal
        self.records += 1
        # Some edits lie in one append and share its offset.
        self.offset += self.records % 3 == 0


def _held_rows(held: HeldTables) -> list[Route]:
    routes = held.current.routes.values()
    return sorted(routes, key=lambda route: route.name)


@given("tables of {pools:d} pools that change {changes:d} times")
def given_tables(context: Context, pools: int, changes: int) -> None:
    context.editor = Editor(pools)
    context.changes = changes


@when("members of each pool take updates that are lost, doubled and late")
def take_updates(context: Context) -> None:
    editor = context.editor
    rng = editor.rng
    context.members = {pool: HeldTables() for pool in editor.tables.pools}
    context.went_down = 0
    context.small = []
    late = []
    for change in range(context.changes + 20):
        if change < context.changes or editor.records % 3:
            editor.edit()
        for pool, held in context.members.items():
            update = editor.feed.update_for(pool, held.reported_version)
            if update is None or editor.records % 3:
                continue
            if update.base:
                context.small.append(len(msgspec.msgpack.encode(update)))
            if change < context.changes and rng.random() < 0.4:
                late.append((held, update))
                continue
            before = held.current.version
            held.take(update)
            held.take(update)
            for other, old in rng.sample(late, min(2, len(late))):
                if other is held:
                    held.take(old)
            context.went_down += held.current.version < before


@then("each member holds its pool's rows at the newest version")
def holds_rows(context: Context) -> None:
    for pool, held in context.members.items():
        assert held.current.version == context.editor.tables.version
        assert _held_rows(held) == context.editor.rows(pool)
        assert list(held.current.pools) == [pool]


@then("no member's version ever went down")
def never_down(context: Context) -> None:
    assert context.went_down == 0


@then("a changed row costs a member less than a fifth of all rows")
def costs(context: Context) -> None:
    whole = context.editor.feed.update_for("p0", 0)
    size = len(msgspec.msgpack.encode(whole))
    middle = sorted(context.small)[len(context.small) // 2]
    assert middle < size / 5, (middle, size)


@when("a member's row is lost without notice and the tables change")
def lose_row(context: Context) -> None:
    editor = context.editor
    held = HeldTables()
    held.take(editor.feed.update_for("p0", 0))
    current = held.current
    rows = list(current.routes.values())[1:]
    pools = list(current.pools.values())
    held.current = CompiledVersion(current.version, rows, pools)
    context.held = held
    editor.offset += 1
    editor.edit()
    for _ in range(3):
        update = editor.feed.update_for("p0", held.reported_version)
        if update is not None:
            held.take(update)


@then("the member asked for all rows once and holds its pool's rows")
def mended(context: Context) -> None:
    assert context.held.repairs == 1, context.held.repairs
    assert _held_rows(context.held) == context.editor.rows("p0")


@then("a member that another entry leads is fed after it lagged 2 s")
def fed_later(context: Context) -> None:
    feed = context.editor.feed
    assert feed.is_mine("vm", 1, 0.0, leads=True)
    assert not feed.is_mine("vm", 1, 0.0, leads=False)
    assert not feed.is_mine("vm", 1, 1.0, leads=False)
    assert feed.is_mine("vm", 1, 2.0, leads=False)
    assert not feed.is_mine("vm", 2, 3.0, leads=False)


def _hello(entry: str, version: int) -> EntryHeartbeat:
    return EntryHeartbeat(
        entry=entry,
        data_centre="",
        region="",
        control_address=entry,
        operator_address="",
        tables_version=version,
        log_offset=0,
        stopping=False,
        known_addresses=[],
    )


@given('a table lender for each of "a", "b" and "c" at version {version:d}')
def given_lenders(context: Context, version: int) -> None:
    context.lenders = {name: TableLender(name) for name in "abc"}
    context.version = version


@when('"d" says version 0 each second for {span_s:d} s')
def says_old(context: Context, span_s: int) -> None:
    alive = [_hello(name, context.version) for name in context.lenders]
    late = _hello("d", 0)
    context.lent = [
        name
        for now_s in range(span_s)
        for name, lender in context.lenders.items()
        if lender.lends(late, context.version, [*alive, late], float(now_s))
    ]


@then('only "a" lent tables, {most:d} times at most')
def lent(context: Context, most: int) -> None:
    assert set(context.lent) == {"a"} and len(context.lent) <= most
