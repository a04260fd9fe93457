"""Simulated control channel of an entry."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class ChannelModel:
    """Stands in for ``ControlChannel``; messages go by way of the world."""

    def __init__(
        self,
        send: Callable[[str, str, Any], None],
        address: str,
        deliver: Callable[[Any], None],
        log: Callable[..., None],
        message_type: Any,
        clock: Callable[[], float],
        on_reopened: Callable[[str], None],
    ) -> None:
        del log, message_type, clock, on_reopened
        self.address = address
        self.sent_bytes = 0
        self.received_bytes = 0
        self.dropped_messages = 0
        self.deliver = deliver
        self._send = send

    def open(self) -> None:
        """Do nothing, as the world delivers messages at any time."""

    def close(self) -> None:
        """Do nothing, as the world drops the messages to dead entries."""

    def note_delivered(self, address: str, sent_at_s: float) -> None:
        """Do nothing, as the world's links are never reopened."""

    def note_unanswered(self, address: str, sent_at_s: float) -> None:
        """Do nothing, as the world's links are never reopened."""

    def send(self, address: str, message: Any) -> None:
        self._send(self.address, address, message)
