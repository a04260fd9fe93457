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
from yuccapoint.version.compiled_tables import CompiledTables
from yuccapoint.version.pool import Pool
from yuccapoint.version.route import Route
from yuccapoint.version.table_feed import TableFeed
from yuccapoint.version.table_relay import TableRelay
from yuccapoint.version.table_replica import TableReplica
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
        # Some edits are part of one append and share its offset.
        self.offset += self.records % 3 == 0


def _replica_rows(replica: TableReplica) -> list[Route]:
    routes = replica.current.routes.values()
    return sorted(routes, key=lambda route: route.name)


@given("tables of {pools:d} pools that change {changes:d} times")
def given_tables(context: Context, pools: int, changes: int) -> None:
    context.editor = Editor(pools)
    context.changes = changes


@when("members of each pool receive lost, repeated and late updates")
def receive_updates(context: Context) -> None:
    editor = context.editor
    rng = editor.rng
    context.members = {pool: TableReplica() for pool in editor.tables.pools}
    context.decreases = 0
    context.update_sizes = []
    late = []
    for change in range(context.changes + 20):
        if change < context.changes or editor.records % 3:
            editor.edit()
        for pool, replica in context.members.items():
            update = editor.feed.update_since(pool, replica.reported_version)
            if update is None or editor.records % 3:
                continue
            if update.base:
                context.update_sizes.append(
                    len(msgspec.msgpack.encode(update))
                )
            if change < context.changes and rng.random() < 0.4:
                late.append((replica, update))
                continue
            before = replica.current.version
            replica.apply(update)
            replica.apply(update)
            for other, old in rng.sample(late, min(2, len(late))):
                if other is replica:
                    replica.apply(old)
            context.decreases += replica.current.version < before


@then("each member has its pool's rows at the newest version")
def has_rows(context: Context) -> None:
    for pool, replica in context.members.items():
        assert replica.current.version == context.editor.tables.version
        assert _replica_rows(replica) == context.editor.rows(pool)
        assert list(replica.current.pools) == [pool]


@then("no member's version ever decreased")
def never_decreased(context: Context) -> None:
    assert context.decreases == 0


@then("the update for a changed row is less than a fifth the size of all rows")
def update_size(context: Context) -> None:
    full_update = context.editor.feed.update_since("p0", 0)
    size = len(msgspec.msgpack.encode(full_update))
    median = sorted(context.update_sizes)[len(context.update_sizes) // 2]
    assert median < size / 5, (median, size)


@when("a member silently loses a row and the tables change")
def lose_row(context: Context) -> None:
    editor = context.editor
    replica = TableReplica()
    replica.apply(editor.feed.update_since("p0", 0))
    current = replica.current
    rows = list(current.routes.values())[1:]
    pools = list(current.pools.values())
    replica.current = CompiledTables(current.version, rows, pools)
    context.replica = replica
    editor.offset += 1
    editor.edit()
    for _ in range(3):
        update = editor.feed.update_since("p0", replica.reported_version)
        if update is not None:
            replica.apply(update)


@then("the member requested all rows once and has its pool's rows")
def restored(context: Context) -> None:
    assert context.replica.repairs == 1, context.replica.repairs
    assert _replica_rows(context.replica) == context.editor.rows("p0")


@then("a member of another leader gets updates after lagging for 2 s")
def updated_after_lag(context: Context) -> None:
    feed = context.editor.feed
    assert feed.should_feed("vm", 1, 0.0, leads=True)
    assert not feed.should_feed("vm", 1, 0.0, leads=False)
    assert not feed.should_feed("vm", 1, 1.0, leads=False)
    assert feed.should_feed("vm", 1, 2.0, leads=False)
    assert not feed.should_feed("vm", 2, 3.0, leads=False)


def _heartbeat(entry: str, version: int) -> EntryHeartbeat:
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


@given('a table relay for each of "a", "b" and "c" at version {version:d}')
def given_relays(context: Context, version: int) -> None:
    context.relays = {name: TableRelay(name) for name in "abc"}
    context.version = version


@when('"d" reports version 0 each second for {span_s:d} s')
def report_old_version(context: Context, span_s: int) -> None:
    alive = [_heartbeat(name, context.version) for name in context.relays]
    lagging = _heartbeat("d", 0)
    context.senders = [
        name
        for now_s in range(span_s)
        for name, relay in context.relays.items()
        if relay.should_send(
            lagging, context.version, [*alive, lagging], float(now_s)
        )
    ]


@then('only "a" sent tables, at most {most:d} times')
def senders(context: Context, most: int) -> None:
    assert set(context.senders) == {"a"} and len(context.senders) <= most
