"""Non-blocking output of log lines to standard output."""

from __future__ import annotations

import collections
import os
from typing import Any

import eliot
import msgspec

from yuccapoint.process.steady_timer import SteadyTimer

# Limit of buffered lines in bytes; the oldest lines are dropped above it.
MAX_BUFFERED_BYTES = 1_000_000
FLUSH_EVERY_MS = 100
STDOUT = 1


class LogOutput:
    """Bounded buffer of JSON lines in front of a file descriptor.

    A reader that stalls never blocks the process: the oldest lines are
    dropped and counted instead.
    """

    def __init__(self, descriptor: int = STDOUT) -> None:
        self.dropped = 0
        self._descriptor = descriptor
        self._lines: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self._flush_timer = SteadyTimer(self.flush, FLUSH_EVERY_MS)

    def start(self) -> None:
        """Start to receive the log messages of this process."""
        os.set_blocking(self._descriptor, False)
        eliot.add_destinations(self.write)
        self._flush_timer.start()

    def stop(self) -> None:
        """Write what the reader accepts and stop."""
        self._flush_timer.stop()
        self.flush()
        eliot.remove_destination(self.write)

    def write(self, message: dict[str, Any]) -> None:
        """Buffer a message; drop the oldest ones above the limit."""
        message.pop("task_uuid", None)
        message.pop("task_level", None)
        line = msgspec.json.encode(message, enc_hook=str) + b"\n"
        self._lines.append(line)
        self._buffered_bytes += len(line)
        while self._buffered_bytes > MAX_BUFFERED_BYTES:
            self._buffered_bytes -= len(self._lines.popleft())
            self.dropped += 1

    def flush(self) -> None:
        """Write as much as the reader accepts without blocking."""
        if self.dropped and self._lines:
            notice = {"message_type": "log", "dropped_lines": self.dropped}
            self._lines.append(msgspec.json.encode(notice) + b"\n")
            self.dropped = 0
        while self._lines:
            line = self._lines.popleft()
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                self._lines.appendleft(line)
                return
            self._buffered_bytes -= written
            if written < len(line):
                self._lines.appendleft(line[written:])
                return
