"""Control messages over pynng: a receive socket and one-way sends."""

from __future__ import annotations

import asyncio
import contextlib
import time
from typing import Any
from typing import TYPE_CHECKING

import msgspec
import pynng
from pynng import _nng

from yuccapoint.connection.control_peer import ControlPeer
from yuccapoint.connection.delivery_messages import DeliveryProbe
from yuccapoint.connection.delivery_messages import DeliveryReceipt
from yuccapoint.connection.messages import ControlMessage
from yuccapoint.decoding import decode
from yuccapoint.exceptions import DecodingError
from yuccapoint.exceptions import ListenError

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_PEERS = 4_096
RECEIVE_BUFFER_MESSAGES = 4_096
# Interval at which connections are checked, in seconds.
WATCH_INTERVAL_S = 0.1
# After a longer delay of the event loop, in seconds, no connection is judged
# for a while, so that what has arrived meanwhile is read first.
MAX_LOOP_DELAY_S = 0.2
READ_AFTER_DELAY_S = 0.3
NNG_THREADS_PER_POOL = 2
_THREAD_PARAMETERS = (
    _nng.lib.NNG_INIT_NUM_TASK_THREADS,
    _nng.lib.NNG_INIT_MAX_TASK_THREADS,
    _nng.lib.NNG_INIT_NUM_EXPIRE_THREADS,
    _nng.lib.NNG_INIT_MAX_EXPIRE_THREADS,
    _nng.lib.NNG_INIT_NUM_POLLER_THREADS,
    _nng.lib.NNG_INIT_MAX_POLLER_THREADS,
    _nng.lib.NNG_INIT_NUM_RESOLVER_THREADS,
)


def limit_threads() -> None:
    """Limit the library's threads; call before opening any socket."""
    for parameter in _THREAD_PARAMETERS:
        _nng.lib.nng_init_set_parameter(parameter, NNG_THREADS_PER_POOL)


class ControlChannel:
    """Receives control messages, and sends them without blocking.

    A message that can't be queued for its peer is dropped and counted; the
    decision logic resends what is still needed. A connection on which
    nothing is delivered any more is reopened.

    Parameters
    ----------
    address : str
        IP number and port to receive on.
    deliver : callable
        Called with each message on the event loop.
    log : callable
        Logs an event: its part, text and fields.
    message_type : type, optional
        Type to which messages are decoded.
    clock : callable, optional
        Returns steady time in seconds.
    on_reopened : callable, optional
        Called with a peer's address after its connection was reopened, so
        that what was lost can be sent again at once.
    """

    def __init__(
        self,
        address: str,
        deliver: Callable[[Any], None],
        log: Callable[..., None],
        message_type: Any = ControlMessage,
        clock: Callable[[], float] = time.monotonic,
        on_reopened: Callable[[str], None] = lambda address: None,
    ) -> None:
        self.address = address
        self.dropped_messages = 0
        self.malformed_messages = 0
        self.reopened_connections = 0
        self.sent_probes = 0
        self.sent_bytes = 0
        self.received_bytes = 0
        self._deliver = deliver
        self._log = log
        self._clock = clock
        self._on_reopened = on_reopened
        self._peers: dict[str, ControlPeer] = {}
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(
            message_type | DeliveryProbe | DeliveryReceipt
        )
        self._receive_socket: pynng.Pull0 | None = None
        self._receive_task: asyncio.Task[None] | None = None
        self._watch_task: asyncio.Task[None] | None = None

    def open(self) -> None:
        """Start to listen and to deliver messages.

        Raises
        ------
        ListenError
            The address is in use or not on this VM.
        """
        limit_threads()
        try:
            self._receive_socket = pynng.Pull0(
                listen=f"tcp://{self.address}",
                recv_buffer_size=RECEIVE_BUFFER_MESSAGES,
            )
        except pynng.NNGException as error:
            text = f"can't listen on {self.address}: {error}"
            raise ListenError(text) from None
        self._receive_task = asyncio.ensure_future(
            self._receive(self._receive_socket)
        )
        self._watch_task = asyncio.ensure_future(self._watch())

    def send(self, address: str, message: msgspec.Struct) -> None:
        """Send a message; it may get lost."""
        try:
            peer = self._peer(address)
            peer.in_use = True
            self._send(peer, message)
            self._probe(peer)
        except pynng.NNGException:
            self.dropped_messages += 1

    def note_delivered(self, address: str, sent_at_s: float) -> None:
        """Note that a message sent to a peer at a time has arrived.

        A connection with such evidence needs no probes, which cost a large
        cell's leader more than its orders.
        """
        peer = self._peers.get(address)
        if peer is not None:
            peer.monitor.on_delivered(sent_at_s, self._clock())

    def note_unanswered(self, address: str, sent_at_s: float) -> None:
        """Note that an answer expected from a peer did not come in time.

        The next message takes a new connection, unless the message sent at
        that time is known to have arrived.
        """
        peer = self._peers.get(address)
        if peer is None:
            return
        peer.monitor.on_unanswered(sent_at_s)
        self._reopen_if_silent(peer)

    def _send(self, peer: ControlPeer, message: msgspec.Struct) -> None:
        data = self._encoder.encode(message)
        peer.send(data)
        self.sent_bytes += len(data)

    def _probe(self, peer: ControlPeer) -> None:
        number = peer.monitor.next_probe(self._clock())
        if number is None:
            return
        self.sent_probes += 1
        probe = DeliveryProbe(
            self.address, peer.address, number, peer.monitor.confirmed
        )
        self._send(peer, probe)

    def _reopen_if_silent(self, peer: ControlPeer) -> None:
        now_s = self._clock()
        silent_s = peer.monitor.silent_s(now_s)
        if not silent_s:
            return
        self.reopened_connections += 1
        try:
            peer.reopen(now_s)
            self._probe(peer)
        except pynng.NNGException:
            self.dropped_messages += 1
        self._on_reopened(peer.address)
        reopenings = peer.monitor.reopenings
        # A peer that is down is not logged each time.
        if reopenings & (reopenings - 1):
            return
        self._log(
            "channel",
            "the peer confirms nothing; the connection was reopened",
            peer=peer.address,
            silent_ms=int(silent_s * 1000),
            reopenings=reopenings,
        )

    async def _watch(self) -> None:
        """Reopen silent connections, but not by receipts yet to be read."""
        read_until_s = 0.0
        while True:
            due_s = self._clock() + WATCH_INTERVAL_S
            await asyncio.sleep(WATCH_INTERVAL_S)
            now_s = self._clock()
            if now_s - due_s > MAX_LOOP_DELAY_S:
                # The process was held up; receipts may wait in the queue.
                read_until_s = now_s + READ_AFTER_DELAY_S
            if now_s < read_until_s:
                continue
            for peer in list(self._peers.values()):
                # A peer that is gone is not dialled for ever.
                if peer.in_use:
                    self._check(peer)

    def _check(self, peer: ControlPeer) -> None:
        try:
            self._reopen_if_silent(peer)
        except Exception as error:
            # One failing peer must not stop the watch of the others.
            self._report_failure("control connection check failed", error)

    def _confirm(self, probe: DeliveryProbe) -> None:
        peer = self._peers.get(probe.sender)
        if peer is None and len(self._peers) >= MAX_PEERS:
            # Peers that are only answered displace no others.
            self.dropped_messages += 1
            return
        try:
            peer = self._peer(probe.sender)
            peer.in_use = True
            peer.receipts.on_probe(probe, self._clock())
            self._reopen_if_silent(peer)
            self._send(peer, DeliveryReceipt(probe.receiver, probe.number))
        except pynng.NNGException:
            self.dropped_messages += 1

    def close(self) -> None:
        """Stop receiving and close the connections to all peers."""
        for task in (self._receive_task, self._watch_task):
            if task is not None:
                task.cancel()
        if self._receive_socket is not None:
            self._receive_socket.close()
        for peer in self._peers.values():
            peer.close()
        self._peers.clear()

    def _peer(self, address: str) -> ControlPeer:
        peer = self._peers.get(address)
        if peer is not None:
            return peer
        if len(self._peers) >= MAX_PEERS:
            oldest = next(iter(self._peers))
            self._peers.pop(oldest).close()
        peer = ControlPeer(address)
        self._peers[address] = peer
        return peer

    async def _receive(self, socket: pynng.Pull0) -> None:
        with contextlib.suppress(pynng.Closed, asyncio.CancelledError):
            while True:
                self._handle(await socket.arecv())

    def _handle(self, data: bytes) -> None:
        self.received_bytes += len(data)
        try:
            message = decode(self._decoder, data)
        except DecodingError:
            self.malformed_messages += 1
            return
        try:
            self._dispatch(message)
        except Exception as error:
            # One failing message must not stop the receive loop.
            self._report_failure("control message handler failed", error)

    def _report_failure(self, text: str, error: Exception) -> None:
        asyncio.get_running_loop().call_exception_handler(
            {"message": text, "exception": error}
        )

    def _dispatch(self, message: Any) -> None:
        if isinstance(message, DeliveryProbe):
            self._confirm(message)
            return
        if isinstance(message, DeliveryReceipt):
            peer = self._peers.get(message.receiver)
            if peer is not None:
                peer.monitor.on_receipt(message.number, self._clock())
            return
        self._deliver(message)
