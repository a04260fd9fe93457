"""A caller's connection that stays open until the entry closes it."""

from __future__ import annotations

import math
import select
import socket
import threading
import time

# The users' bound: a connection may be closed without an answer to a request
# up to this long after the request's last byte was sent.
LOSS_SLACK_S = 0.2
# An answer comes within a caller's timeout; after this one none is expected.
ANSWER_TIMEOUT_S = 8.0


class KeptConnection(threading.Thread):
    """Sends requests at given times until the entry closes the connection.

    A thread of its own notices the end of the connection in time.

    Parameters
    ----------
    address : tuple of str and int
        Where the entry listens for callers.
    requests : list of tuple
        Steady time in seconds and bytes of each part that is sent. A request
        is sent once the former has got its answer.

    Attributes
    ----------
    answered : int
        Requests with a whole answer.
    unanswered_at_s : float
        When the request was sent that got no answer; infinite without one.
    closed_at_s : float
        When the connection had ended.
    """

    def __init__(
        self,
        address: tuple[str, int],
        requests: list[list[tuple[float, bytes]]],
    ) -> None:
        super().__init__(daemon=True)
        self.answered = 0
        self.unanswered_at_s = math.inf
        self.closed_at_s = 0.0
        self._requests = requests
        self._socket = socket.create_connection(address)
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._socket.settimeout(ANSWER_TIMEOUT_S)

    @property
    def unanswered_for_s(self) -> float:
        """How long a request without an answer was sent before the close."""
        return max(0.0, self.closed_at_s - self.unanswered_at_s)

    @property
    def lost(self) -> bool:
        """Whether a request was lost by the users' bound."""
        return self.unanswered_for_s > LOSS_SLACK_S

    def run(self) -> None:
        """Send the requests and read their answers."""
        try:
            for parts in self._requests:
                if not self._send(parts):
                    return
                self.unanswered_at_s = time.monotonic()
                if not self._read_answer():
                    return
                self.answered += 1
                self.unanswered_at_s = math.inf
        except OSError:
            # A reset or a timeout ends the connection, too.
            return
        finally:
            self.closed_at_s = time.monotonic()
            self._socket.close()

    def _send(self, parts: list[tuple[float, bytes]]) -> bool:
        for at_s, data in parts:
            wait_s = max(0.0, at_s - time.monotonic())
            if select.select([self._socket], [], [], wait_s)[0]:
                # Only its end arrives on a connection without a request.
                return False
            self._socket.sendall(data)
        return True

    def _read_answer(self) -> bool:
        received = b""
        while True:
            head, separator, body = received.partition(b"\r\n\r\n")
            if separator and len(body) >= _content_length(head):
                return True
            chunk = self._socket.recv(65_536)
            if not chunk:
                return False
            received += chunk


def _content_length(head: bytes) -> int:
    for line in head.lower().split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name == b"content-length":
            return int(value)
    return 0
