"""A loopback TCP proxy that injects link faults."""

from __future__ import annotations

import asyncio
import contextlib
import enum

CHUNK_BYTES = 65_536


class LinkState(enum.Enum):
    """How the proxy handles the bytes it receives."""

    PASS = "pass"
    DELAY = "delay"
    SILENT = "silent"
    DROP_REQUESTS = "drop_requests"
    DROP_RESPONSES = "drop_answers"


class Proxy:
    """Forwards connections from one loopback address to another."""

    def __init__(self, address: str, upstream: str) -> None:
        self.address = address
        self.state = LinkState.PASS
        self.delay_s = 0.0
        self._upstream = upstream
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        # Both writers of each connection, in the order of its opening.
        self._connections: list[set[asyncio.StreamWriter]] = []
        self._silenced: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    def reset_all(self) -> None:
        """Abort all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

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
        open_now = [c for c in self._connections if c <= self._writers]
        silenced = open_now[:count]
        self._silenced.update(*silenced)
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
        host, _, port = self._upstream.rpartition(":")
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers.update((writer, upstream_writer))
        self._connections.append({writer, upstream_writer})
        directions = (
            (reader, upstream_writer, LinkState.DROP_REQUESTS),
            (upstream_reader, writer, LinkState.DROP_RESPONSES),
        )
        for source, target, drop_state in directions:
            task = asyncio.ensure_future(
                self._forward(source, target, drop_state)
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        drop_state: LinkState,
    ) -> None:
        lost = False
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if writer in self._silenced or self.state in (
                    LinkState.SILENT,
                    drop_state,
                ):
                    # A stream that lost bytes forwards nothing more.
                    lost = True
                if lost:
                    continue
                if self.state is LinkState.DELAY:
                    await asyncio.sleep(self.delay_s)
                writer.write(data)
                await writer.drain()
        self._writers.discard(writer)
        writer.transport.abort()
