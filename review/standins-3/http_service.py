"""A small HTTP/1.1 server and client on asyncio streams."""

from __future__ import annotations

import asyncio
import json
from urllib.parse import parse_qsl
from urllib.parse import urlsplit


class Request:
    """A request with its whole body."""

    def __init__(self, method, target, headers, body, writer):
        parts = urlsplit(target)
        self.method = method
        self.path = parts.path
        self.query = dict(parse_qsl(parts.query))
        self.headers = headers
        self.body = body
        self.writer = writer

    def json(self):
        return json.loads(self.body or b"{}")


class NoAnswer(Exception):
    """Raised by a handler whose request gets no answer."""


async def read_head(reader):
    """Return the first line and the headers; None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return first, headers


def encode_response(status, body, content_type="application/json"):
    return (
        f"HTTP/1.1 {status} -\r\nContent-Length: {len(body)}\r\n"
        f"Content-Type: {content_type}\r\n\r\n"
    ).encode() + body


async def serve(address, handler):
    """Serve an address; the handler returns a status and a body."""
    host, _, port = address.rpartition(":")

    async def on_connection(reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                first, headers = head
                method, target, _ = first.split(" ", 2)
                size = int(headers.get("content-length", 0))
                body = await reader.readexactly(size) if size else b""
                request = Request(method, target, headers, body, writer)
                try:
                    status, data = await handler(request)
                except NoAnswer:
                    break
                if not isinstance(data, bytes):
                    data = json.dumps(data).encode()
                writer.write(encode_response(status, data))
                await writer.drain()
        except (
            ConnectionError,
            asyncio.CancelledError,
            asyncio.IncompleteReadError,
            OSError,
        ):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(
        on_connection, host, int(port), backlog=1024, limit=1 << 20
    )


async def call(
    address, method, target, body=None, headers=None, timeout_s=3.0
):
    """Return the status and the body of an answer; status 0 without one."""
    host, _, port = address.rpartition(":")
    data = b"" if body is None else json.dumps(body).encode()
    lines = [f"{method} {target} HTTP/1.1", f"Content-Length: {len(data)}"]
    names = {
        "Host": address,
        "Content-Type": "application/json",
        "Connection": "close",
        **(headers or {}),
    }
    lines += [f"{name}: {value}" for name, value in names.items()]
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
            head = await read_head(reader)
            if head is None:
                return 0, b""
            first, received = head
            size = int(received.get("content-length", 0))
            answer = await reader.readexactly(size) if size else b""
            return int(first.split()[1]), answer
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, b""
    finally:
        if writer is not None:
            writer.close()
