"""Control messages over pynng: a receive socket and one-way sends."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any
from typing import TYPE_CHECKING

import msgspec
import pynng
from pynng import _nng

from yuccapoint.connection.messages import ControlMessage
from yuccapoint.exceptions import ListenError

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_PEERS = 4_096
RECEIVE_BUFFER_MESSAGES = 4_096
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
    decision logic resends what is still needed.

    Parameters
    ----------
    address : str
        IP number and port to receive on.
    deliver : callable
        Called with each message on the event loop.
    message_type : type, optional
        Type to which messages are decoded.
    """

    def __init__(
        self,
        address: str,
        deliver: Callable[[Any], None],
        message_type: Any = ControlMessage,
    ) -> None:
        self.address = address
        self.dropped_messages = 0
        self.malformed_messages = 0
        self.sent_bytes = 0
        self.received_bytes = 0
        self._deliver = deliver
        self._peers: dict[str, pynng.Push0] = {}
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(message_type)
        self._receive_socket: pynng.Pull0 | None = None
        self._receive_task: asyncio.Task[None] | None = None

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

    def send(self, address: str, message: msgspec.Struct) -> None:
        """Send a message; it may get lost."""
        data = self._encoder.encode(message)
        try:
            self._peer(address).send(data, block=False)
        except pynng.NNGException:
            self.dropped_messages += 1
            return
        self.sent_bytes += len(data)

    def reconnect(self, address: str) -> None:
        """Close the connection to a peer; the next message opens a new one.

        A connection may stop delivering without being closed.
        """
        peer = self._peers.pop(address, None)
        if peer is not None:
            peer.close()

    def close(self) -> None:
        """Stop receiving and close the connections to all peers."""
        if self._receive_task is not None:
            self._receive_task.cancel()
        if self._receive_socket is not None:
            self._receive_socket.close()
        for peer in self._peers.values():
            peer.close()
        self._peers.clear()

    def _peer(self, address: str) -> pynng.Push0:
        peer = self._peers.get(address)
        if peer is not None:
            return peer
        if len(self._peers) >= MAX_PEERS:
            oldest = next(iter(self._peers))
            self._peers.pop(oldest).close()
        peer = pynng.Push0(
            send_buffer_size=64,
            reconnect_time_min=100,
            reconnect_time_max=2_000,
        )
        peer.dial(f"tcp://{address}", block=False)
        self._peers[address] = peer
        return peer

    async def _receive(self, socket: pynng.Pull0) -> None:
        with contextlib.suppress(pynng.Closed, asyncio.CancelledError):
            while True:
                self._handle(await socket.arecv())

    def _handle(self, data: bytes) -> None:
        self.received_bytes += len(data)
        try:
            message = self._decoder.decode(data)
        except msgspec.DecodeError:
            self.malformed_messages += 1
            return
        try:
            self._deliver(message)
        except Exception as error:
            # One failing message must not stop the receive loop.
            asyncio.get_running_loop().call_exception_handler(
                {
                    "message": "control message handler failed",
                    "exception": error,
                }
            )
