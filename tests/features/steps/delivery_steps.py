from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING
from unittest import mock

from behave import given
from behave import then
from behave import when
import msgspec
from platform_path_steps import run
from platform_path_steps import wait_until
import pynng

from soak.proxy import Proxy
from yuccapoint.cell.cell_messages import CellMessage
from yuccapoint.cell.cell_messages import RelayAnswer
from yuccapoint.cell.cell_messages import RelayResult
from yuccapoint.cell.lease_bounds import PROBE_INTERVAL_S
from yuccapoint.cell.lease_bounds import VM_LEASE_S
from yuccapoint.connection import control_peer
from yuccapoint.connection.control_channel import ControlChannel
from yuccapoint.connection.delivery_messages import DeliveryProbe
from yuccapoint.connection.delivery_messages import DeliveryReceipt
from yuccapoint.connection.delivery_monitor import DeliveryMonitor
from yuccapoint_standins.deployment import find_free_address

if TYPE_CHECKING:
    from behave.runner import Context

MESSAGE = RelayAnswer(1, RelayResult.APPENDED)


@given("a connection with a probe sent at {at_s:f} s")
def connection(context: Context, at_s: float) -> None:
    context.monitor = DeliveryMonitor(100)
    context.probes = []
    probe(context, at_s)


@given("a probe sent at {at_s:f} s")
@when("a probe sent at {at_s:f} s")
def probe(context: Context, at_s: float) -> None:
    number = context.monitor.next_probe(at_s)
    assert number is not None
    context.probes.append(number)


@when("the last probe is confirmed at {at_s:f} s")
def confirm_last(context: Context, at_s: float) -> None:
    context.monitor.on_receipt(context.probes[-1], at_s)


@when("the first probe is confirmed at {at_s:f} s")
def confirm_first(context: Context, at_s: float) -> None:
    context.monitor.on_receipt(context.probes[0], at_s)


@when("the connection is reopened at {at_s:f} s")
def reopen(context: Context, at_s: float) -> None:
    assert context.monitor.silent_s(at_s)
    context.monitor.on_reopened(at_s)


@then("it is not silent at {at_s:f} s")
def not_silent(context: Context, at_s: float) -> None:
    assert not context.monitor.silent_s(at_s)


@then("it is silent at {at_s:f} s")
def silent(context: Context, at_s: float) -> None:
    assert context.monitor.silent_s(at_s)


@when(
    "a message sent at {sent_at_s:f} s is known at {at_s:f} s to have arrived"
)
def delivered(context: Context, sent_at_s: float, at_s: float) -> None:
    context.monitor.on_delivered(sent_at_s, at_s)


@then("no probe is due at {at_s:f} s")
def no_probe(context: Context, at_s: float) -> None:
    assert context.monitor.next_probe(at_s) is None


@then("a probe is due at {at_s:f} s")
def probe_due(context: Context, at_s: float) -> None:
    assert context.monitor.next_probe(at_s) is not None


@given("a connection over a way on which a receipt takes {receipt_s:f} s")
def slow_way(context: Context, receipt_s: float) -> None:
    context.monitor = DeliveryMonitor(100)
    context.receipt_s = receipt_s


@when("messages are sent each {pause_s:f} s for {seconds:f} s")
def send_for(context: Context, pause_s: float, seconds: float) -> None:
    context.reopened = 0
    receipts: list[tuple[float, int]] = []
    for tick in range(int(seconds / pause_s)):
        now_s = tick * pause_s
        for receipt in list(receipts):
            if receipt[0] <= now_s:
                receipts.remove(receipt)
                context.monitor.on_receipt(receipt[1], now_s)
        if context.monitor.silent_s(now_s):
            context.monitor.on_reopened(now_s)
            context.reopened += 1
        number = context.monitor.next_probe(now_s)
        if number is not None:
            receipts.append((now_s + context.receipt_s, number))


@then("it was reopened at most {times:d} times")
def reopened(context: Context, times: int) -> None:
    assert 0 < context.reopened <= times, context.reopened


@given("two control channels")
def two_channels(context: Context) -> None:
    async def start() -> None:
        context.received = []
        context.channels = []
        for _ in range(2):
            channel = ControlChannel(
                find_free_address(),
                context.received.append,
                lambda *_, **__: None,
                CellMessage,
            )
            channel.open()
            context.cleanups.append(channel.close)
            context.channels.append(channel)

    run(context, start())


def _received_bytes(context: Context) -> int:
    return sum(channel.received_bytes for channel in context.channels)


@when("one sends 3 messages, and then both are idle for {idle_s:f} s")
def send_then_idle(context: Context, idle_s: float) -> None:
    first, second = context.channels

    async def exchange() -> None:
        for _ in range(3):
            first.send(second.address, MESSAGE)
        assert await wait_until(lambda: len(context.received) == 3, 5)
        context.before_bytes = _received_bytes(context)
        await asyncio.sleep(idle_s)

    run(context, exchange())


@then("at most {count:d} messages were sent in the idle time")
def few_messages(context: Context, count: int) -> None:
    # A receipt is shorter than this.
    limit_bytes = count * 64
    sent_bytes = _received_bytes(context) - context.before_bytes
    assert sent_bytes <= limit_bytes, sent_bytes


@when('one receives probes from "{first}", "{second}" and "{third}"')
@when('one receives probes from "", "{second}" and "{third}"')
def bad_probes(
    context: Context, second: str, third: str, first: str = ""
) -> None:
    sender, receiver = context.channels

    async def send() -> None:
        for address in (first, second, third):
            sender.send(
                receiver.address,
                DeliveryProbe(address, receiver.address, 1, 0),
            )

    run(context, send())


@then("it still receives messages")
def still_receives(context: Context) -> None:
    sender, receiver = context.channels

    async def send() -> None:
        sender.send(receiver.address, MESSAGE)
        assert await wait_until(lambda: context.received == [MESSAGE], 5)

    run(context, send())


@given("two control channels behind proxies, of which only one sends messages")
def one_way_channels(context: Context) -> None:
    listen_socket = pynng.Pull0
    proxies = []

    def listen_behind(listen: str, **options) -> pynng.Pull0:
        behind = find_free_address()
        proxies.append(Proxy(listen.removeprefix("tcp://"), behind))
        return listen_socket(listen=f"tcp://{behind}", **options)

    with mock.patch.object(pynng, "Pull0", listen_behind):
        two_channels(context)
    context.proxies = proxies

    async def connect() -> None:
        for proxy in proxies:
            await proxy.start()
            context.cleanups.append(proxy.close)
        await _send_until_receipt(context, 5.0)

    run(context, connect())


async def _send_until_receipt(context: Context, seconds: float) -> None:
    first, second = context.channels
    before_bytes = first.received_bytes

    def confirmed() -> bool:
        first.send(second.address, MESSAGE)
        return first.received_bytes > before_bytes

    assert await wait_until(confirmed, seconds), (
        f"no receipt, {first.reopened_connections} reopenings by the sender "
        f"of messages, {second.reopened_connections} by that of receipts"
    )


@when("the other one's connection falls silent")
def silence_receipts(context: Context) -> None:
    assert context.proxies[0].silence_open() == 1


@then("within {seconds:f} s a receipt arrives again")
def receipt_again(context: Context, seconds: float) -> None:
    run(context, _send_until_receipt(context, seconds))


@when("one sends a message, is held up for {held_s:f} s and sends another")
def hold_up(context: Context, held_s: float) -> None:
    first, second = context.channels
    confirm = second._confirm

    def confirm_and_hold_up(probe: DeliveryProbe) -> None:
        confirm(probe)
        # Both channels share an event loop: the receipt waits unread.
        time.sleep(held_s)
        first.send(second.address, MESSAGE)

    async def exchange() -> None:
        second.send(first.address, MESSAGE)
        assert await wait_until(lambda: len(context.received) == 1, 5)
        with mock.patch.object(second, "_confirm", confirm_and_hold_up):
            first.send(second.address, MESSAGE)
            assert await wait_until(lambda: len(context.received) == 3, 5)

    run(context, exchange())


@when(
    "one sends a message to a peer that is gone, and then nothing for "
    "{idle_s:f} s"
)
def send_to_gone(context: Context, idle_s: float) -> None:
    async def send() -> None:
        context.channels[0].send(find_free_address(), MESSAGE)
        await asyncio.sleep(idle_s)

    run(context, send())


@then("it has reopened at most {count:d} connection")
def few_reopened(context: Context, count: int) -> None:
    reopened = context.channels[0].reopened_connections
    assert reopened <= count, f"{reopened} reopened"


@then("it has reopened no connection")
def none_reopened(context: Context) -> None:
    reopened = context.channels[0].reopened_connections
    assert not reopened, f"{reopened} reopened"


@when(
    "one is connected to the other, and receives probes from {count:d} "
    "addresses"
)
def strangers(context: Context, count: int) -> None:
    first, second = context.channels

    async def receive() -> None:
        first.send(second.address, MESSAGE)
        context.peer = first._peers[second.address]
        with mock.patch.object(control_peer.pynng, "Push0", mock.Mock()):
            for number in range(count):
                address = f"127.1.{number // 250}.{1 + number % 250}:1"
                first._dispatch(DeliveryProbe(address, first.address, 1, 0))

    run(context, receive())


@then("it is still connected to the other")
def still_connected(context: Context) -> None:
    first, second = context.channels
    kept = first._peers.get(second.address) is context.peer
    assert kept, "the connection in use was closed"


@when("all connections opened in the first {seconds:f} s are silent")
def silent_at_first(context: Context, seconds: float) -> None:
    context.confirmed_at_s = None
    opened_at_s = 0.0
    # A leader sends this often to an agent that it does not hear.
    for tick in range(int(60.0 / PROBE_INTERVAL_S)):
        now_s = tick * PROBE_INTERVAL_S
        if context.monitor.silent_s(now_s):
            context.monitor.on_reopened(now_s)
            opened_at_s = now_s
        number = context.monitor.next_probe(now_s)
        if number is not None and opened_at_s >= seconds:
            context.confirmed_at_s = now_s
            break


@then("a probe is confirmed within a VM's lease")
def confirmed_in_lease(context: Context) -> None:
    assert context.confirmed_at_s is not None
    assert context.confirmed_at_s < VM_LEASE_S, context.confirmed_at_s


@then('a probe is the array "dp", "a:1", "b:2", 3, 4')
def probe_form(context: Context) -> None:
    del context
    data = msgspec.msgpack.encode(DeliveryProbe("a:1", "b:2", 3, 4))
    assert msgspec.msgpack.decode(data) == ["dp", "a:1", "b:2", 3, 4]


@then('a receipt is the array "dr", "b:2", 3')
def receipt_form(context: Context) -> None:
    del context
    data = msgspec.msgpack.encode(DeliveryReceipt("b:2", 3))
    assert msgspec.msgpack.decode(data) == ["dr", "b:2", 3]
