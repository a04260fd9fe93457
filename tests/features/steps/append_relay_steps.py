from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when
from platform_path_steps import run

from yuccapoint.cell.cell_messages import RelayAnswer
from yuccapoint.cell.cell_messages import RelayResult
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
