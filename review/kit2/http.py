"""HTTP responses of the stand-ins, and a client of the tested programs."""

from __future__ import annotations

import asyncio

import msgspec
from tornado.httputil import HTTPHeaders
from tornado.httputil import ResponseStartLine
from tornado.iostream import StreamClosedError


def respond(request, status, body):
    """Send a response unless the peer has closed its connection."""
    if request.connection is None:
        return
    headers = HTTPHeaders({"Content-Length": str(len(body))})
    try:
        request.connection.write_headers(
            ResponseStartLine("HTTP/1.1", status, ""), headers, body
        )
        request.connection.finish()
    except StreamClosedError:
        return


async def call(address, method, path, body=None, headers=None, timeout_s=5.0):
    """Return status and body of a response on a new connection.

    The status is 0 if there was no complete response in time.
    """
    data = b"" if body is None else msgspec.json.encode(body)
    host, _, port = address.rpartition(":")
    sent = {
        "Host": address,
        "Content-Length": str(len(data)),
        "Content-Type": "application/json",
        "Connection": "close",
        **(headers or {}),
    }
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in sent.items()]
    head = "\r\n".join(lines).encode() + b"\r\n\r\n"
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(head + data)
            answer = await reader.readuntil(b"\r\n\r\n")
            size = 0
            for line in answer.decode("latin-1").split("\r\n"):
                name, _, value = line.partition(":")
                if name.lower() == "content-length":
                    size = int(value)
            content = await reader.readexactly(size)
    except (OSError, TimeoutError, EOFError):
        return 0, None
    finally:
        if writer is not None:
            writer.close()
    status = int(answer.split(b" ", 2)[1])
    try:
        return status, msgspec.json.decode(content) if content else None
    except msgspec.DecodeError:
        return status, None
