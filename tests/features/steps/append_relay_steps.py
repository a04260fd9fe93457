from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when
from platform_path_steps import run

from yuccapoint.cell.cell_messages import RelayAnswer
from yuccapoint.cell.cell_messages import RelayResult
from yuccapoint.cell.cell_records import EntryMember
from yuccapoint.cell.cell_records import Leadership
from yuccapoint.cell.cell_view import CellView
from yuccapoint.connection.cell_store import StoreRefusedError
from yuccapoint.process.append_relay import AppendRelay
from yuccapoint.process.process_logger import ProcessLogger

if TYPE_CHECKING:
    from behave.runner import Context

RECORD_TIMEOUT_S = 0.2


class SentMessages:
    """Keeps the messages that an entry sends to its peers."""

    def __init__(self) -> None:
        self.address = "127.0.0.1:1"
        self.sent = []

    def send(self, address: str, message: object) -> None:
        del address
        self.sent.append(message)

    def note_unanswered(self, address: str, sent_at_s: float) -> None:
        """Nothing is connected."""


class RefusingAppender:
    """Has no way to the store."""

    async def append(self, key: str, value: bytes, timeout_s: float) -> None:
        del key, value, timeout_s
        raise StoreRefusedError("no way to the store")


def _relay(context: Context) -> AppendRelay:
    return AppendRelay(
        RefusingAppender(),
        context.channel,
        lambda: ["127.0.0.1:2"],
        lambda: False,
        ProcessLogger("entry"),
    )


@given("an entry that has sent a record to a peer and then restarted")
def restarted_entry(context: Context) -> None:
    context.channel = SentMessages()

    async def send() -> None:
        await _relay(context).append("s:former", b"", 0.01)

    run(context, send())


def _send_another(context: Context, *, answers_both: bool) -> None:
    async def send() -> None:
        relay = _relay(context)
        appending = asyncio.ensure_future(
            relay.append("s:other", b"", RECORD_TIMEOUT_S)
        )
        await asyncio.sleep(0.01)
        former, other = context.channel.sent
        assert (former.key, other.key) == ("s:former", "s:other")
        relay.on_answer(RelayAnswer(former.number, RelayResult.APPENDED))
        if answers_both:
            relay.on_answer(RelayAnswer(other.number, RelayResult.APPENDED))
        context.result = await appending

    run(context, send())


@when("it sends another record, and the peer answers the former one")
def answer_former(context: Context) -> None:
    _send_another(context, answers_both=False)


@when("it sends another record, and the peer answers both")
def answer_both(context: Context) -> None:
    _send_another(context, answers_both=True)


@then("the other record is not called appended")
def not_appended(context: Context) -> None:
    assert context.result is RelayResult.UNKNOWN, context.result


@then("the other record is called appended")
def appended(context: Context) -> None:
    assert context.result is RelayResult.APPENDED, context.result


@given('the entries "a", "b" and "c", started in this order')
def started_entries(context: Context) -> None:
    context.view = CellView()
    for number, name in enumerate(("a", "b", "c")):
        member = EntryMember(name, f"address of {name}", number)
        context.view.apply(name, member, number)


@when('"b" leads')
def leads(context: Context) -> None:
    context.view.apply("leader", Leadership(1, "b", 1), 10)


@when('"b" leads and has resigned')
def has_resigned(context: Context) -> None:
    leads(context)
    record = Leadership(1, "b", 1, renewal=1, resigned=True)
    context.view.apply("leader", record, 11)


@then('"a" asks the entries "{names}"')
def asks(context: Context, names: str) -> None:
    expected = [f"address of {name}" for name in names.split(", ")]
    assert context.view.peers_of("a") == expected, context.view.peers_of("a")
