"""Malformed HTTP heads sent to the ports of an entry and an agent."""

from __future__ import annotations

import asyncio
import contextlib
import random
from typing import TYPE_CHECKING

from tornado.httpclient import AsyncHTTPClient

if TYPE_CHECKING:
    from yuccapoint_standins.deployment import Deployment

MAX_DRAIN_POLLS = 600
POLL_S = 0.1
VALID_HEAD = (
    "POST /quotes/1 HTTP/1.1\r\nHost: entry\r\n"
    "Yuccapoint-Customer: a\r\nContent-Length: 4\r\n\r\nbody"
)
HOSTILE_HEADS = [
    "GET /quotes HTTP/9.9\r\n\r\n",
    "GET /quotes\r\n\r\n",
    "\r\n\r\n\r\n",
    "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
    "POST /quotes HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n",
    "POST /quotes HTTP/1.1\r\nHost: a\r\nContent-Length: 1e9\r\n\r\n",
    "POST /quotes HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999\r\n\r\n",
    "POST /quotes HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n"
    "Content-Length: 2\r\n\r\nab",
    "POST /quotes HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
    "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET / HTTP/1.1\r\n\r\n",
    "POST /quotes HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    "zz\r\nabc\r\n",
    "POST /quotes HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    "ffffffffffff\r\nabc\r\n",
    "GET /quotes/%00%ff%zz HTTP/1.1\r\nHost: a\r\n\r\n",
    "GET http://[::1/quotes HTTP/1.1\r\nHost: a\r\n\r\n",
    "GET /quotes HTTP/1.1\r\nHost: a\r\nX: " + "y" * 90_000 + "\r\n\r\n",
    "GET /quotes HTTP/1.1\r\nHost: a\r\n" + "A: b\r\n" * 20_000 + "\r\n",
    "GET /" + "q" * 90_000 + " HTTP/1.1\r\nHost: a\r\n\r\n",
]


def hostile_head(rng: random.Random) -> bytes:
    """Return a listed head, or a valid one with corrupted bytes."""
    if rng.random() < 0.4:
        return rng.choice(HOSTILE_HEADS).encode()
    data = bytearray(VALID_HEAD.encode())
    for _ in range(rng.randrange(1, 5)):
        position = rng.randrange(len(data))
        data[position : position + rng.randrange(6)] = rng.randbytes(
            rng.randrange(4)
        )
    return bytes(data)


async def feed_heads(deployment: Deployment, count: int) -> None:
    """Send hostile heads, then check that a valid request is answered."""
    rng = random.Random(count)
    entry = deployment.entries[0]
    agent = deployment.vms[0].agent
    request_address = entry.settings.listen.caller_address
    addresses = [
        request_address,
        entry.settings.listen.operator_address,
        agent.settings.listen.announce_address,
        agent.settings.listen.session_address,
    ]
    for _ in range(count):
        host, _, port = rng.choice(addresses).rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        with contextlib.suppress(ConnectionError):
            writer.write(hostile_head(rng))
            await writer.drain()
            if rng.random() < 0.5:
                writer.write_eof()
                await reader.read(1)
        writer.close()
    client = AsyncHTTPClient(force_instance=True)
    answer = await client.fetch(
        f"http://{request_address}/quotes/1", method="POST", body=b"body"
    )
    client.close()
    assert answer.body == b"body"
    for _ in range(MAX_DRAIN_POLLS):
        if not entry.in_flight:
            return
        await asyncio.sleep(POLL_S)
    raise AssertionError(f"{entry.in_flight} requests are still in flight")
