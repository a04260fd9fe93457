"""A loopback TCP proxy that injects link faults."""

from __future__ import annotations

import asyncio
import contextlib
import enum

from soak.proxied_connection import ProxiedConnection
from soak.proxied_connection import Way

CHUNK_BYTES = 65_536
# A narrow link is shared by its connections in pieces of this size, or of this
# time in seconds.
NARROW_CHUNK_BYTES = 8_192
NARROW_CHUNK_S = 0.05


class LinkState(enum.Enum):
    """How the proxy handles the bytes it receives."""

    PASS = "pass"
    DELAY = "delay"
    SILENT = "silent"
    DROP_REQUESTS = "drop_requests"
    DROP_RESPONSES = "drop_answers"


_DROP_STATES = {
    Way.REQUESTS: (LinkState.SILENT, LinkState.DROP_REQUESTS),
    Way.RESPONSES: (LinkState.SILENT, LinkState.DROP_RESPONSES),
}


class Proxy:
    """Forwards connections from one loopback address to another."""

    def __init__(self, address: str, upstream: str) -> None:
        self.address = address
        self.state = LinkState.PASS
        self.delay_s = 0.0
        # Rates of all requests together, and of all responses, in bytes a
        # second; 0 for no limit.
        self.request_bytes_per_s = 0.0
        self.response_bytes_per_s = 0.0
        self.request_bytes = 0
        self.response_bytes = 0
        self.upstream = upstream
        self._free_at_s = dict.fromkeys(Way, 0.0)
        self._server: asyncio.Server | None = None
        # In the order of their opening.
        self._connections: list[ProxiedConnection] = []
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    @property
    def open_connections(self) -> list[ProxiedConnection]:
        """The connections that are open now, the oldest first."""
        return [c for c in self._connections if c.is_open]

    def reset_all(self) -> None:
        """Abort all open connections."""
        for connection in self._connections:
            connection.abort()
        self._connections = []

    def silence_open(self, count: int | None = None) -> int:
        """Silence the connections that are open now, for good.

        Parameters
        ----------
        count : int, optional
            How many, the oldest first; all by default.

        Returns
        -------
        int
            How many were silenced.
        """
        silenced = self.open_connections[:count]
        for connection in silenced:
            connection.silence()
        return len(silenced)

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
        self.reset_all()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self.upstream.rpartition(":")
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        connection = ProxiedConnection(
            writer.get_extra_info("peername")[0],
            {Way.REQUESTS: upstream_writer, Way.RESPONSES: writer},
        )
        self._connections.append(connection)
        for way, source in (
            (Way.REQUESTS, reader),
            (Way.RESPONSES, upstream_reader),
        ):
            task = asyncio.ensure_future(
                self._forward(connection, way, source)
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _forward(
        self,
        connection: ProxiedConnection,
        way: Way,
        reader: asyncio.StreamReader,
    ) -> None:
        writer = connection.writers[way]
        with contextlib.suppress(OSError):
            while data := await reader.read(self._chunk_bytes(way)):
                if self.state in _DROP_STATES[way]:
                    # A stream that lost bytes forwards nothing more.
                    connection.silence((way,))
                if way in connection.silent_ways:
                    continue
                if self.state is LinkState.DELAY:
                    await asyncio.sleep(self.delay_s)
                if way is Way.RESPONSES:
                    self.response_bytes += len(data)
                else:
                    self.request_bytes += len(data)
                await self._wait_for_link(way, len(data))
                writer.write(data)
                await writer.drain()
        if way not in connection.silent_ways:
            writer.transport.abort()

    def _bytes_per_s(self, way: Way) -> float:
        if way is Way.RESPONSES:
            return self.response_bytes_per_s
        return self.request_bytes_per_s

    def _chunk_bytes(self, way: Way) -> int:
        if not self._bytes_per_s(way):
            return CHUNK_BYTES
        size = int(self._bytes_per_s(way) * NARROW_CHUNK_S)
        return max(1, min(size, NARROW_CHUNK_BYTES))

    async def _wait_for_link(self, way: Way, size: int) -> None:
        """Wait until all that was received before has passed the link."""
        bytes_per_s = self._bytes_per_s(way)
        if not bytes_per_s:
            return
        now_s = asyncio.get_running_loop().time()
        begins_at_s = max(now_s, self._free_at_s[way])
        self._free_at_s[way] = begins_at_s + size / bytes_per_s
        await asyncio.sleep(self._free_at_s[way] - now_s)
