"""A small HTTP/1.1 server and client on asyncio streams."""

import asyncio
import json
from urllib.parse import parse_qsl
from urllib.parse import urlsplit

PHRASES = {200: "OK", 503: "Service Unavailable"}


class Request:
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


async def read_message(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    size = int(headers.get("content-length", 0))
    body = await reader.readexactly(size) if size else b""
    return first, headers, body


class HttpServer:
    """Calls ``serve`` with each request; it returns a status and a body.

    A returned None closes the connection without a response.
    """

    def __init__(self, serve):
        self._serve = serve
        self._server = None
        self._writers = set()

    async def listen(self, address):
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(
            self._handle, host, int(port), limit=4_000_000
        )

    def close(self):
        if self._server is not None:
            self._server.close()
        self.cut()

    def cut(self):
        """Close all open connections."""
        for writer in list(self._writers):
            writer.close()

    async def _handle(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                request = Request(method, target, headers, body, writer)
                answer = await self._serve(request)
                if answer is None:
                    return
                status, content = answer
                phrase = PHRASES.get(status, "Other")
                writer.write(
                    f"HTTP/1.1 {status} {phrase}\r\n"
                    f"Content-Length: {len(content)}\r\n\r\n".encode()
                    + content
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()


async def call(address, method, path, body=b"", headers=None, timeout_s=3.0):
    """Return (status, body) of a call, or None without an answer."""
    host, _, port = address.rpartition(":")
    lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(body)}"]
    for name, value in {"Host": address, **(headers or {})}.items():
        lines.append(f"{name}: {value}")
    data = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(data)
            first, _, content = await read_message(reader)
            return int(first.split(" ")[1]), content
    except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()
