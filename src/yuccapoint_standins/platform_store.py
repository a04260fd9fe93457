"""A stand-in for the platform's store, with one partition per topic."""

from __future__ import annotations

import asyncio
import base64
import struct
from typing import Any

import msgspec
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders
from tornado.httputil import HTTPServerRequest
from tornado.httputil import ResponseStartLine
from tornado.iostream import StreamClosedError

PAGE_HEADER = struct.Struct(">QQ")
RECORD_LENGTH = struct.Struct(">I")
# Bounds of a page of newest records, and of a read that names none.
MAX_PAGE_ITEMS = 500
MAX_PAGE_BYTES = 1_000_000
MAX_READ_KB = 1_024


class PlatformPartition:
    """The records of the first partition of a topic."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.first_offset = 0
        self.producers: dict[str, tuple[int, int]] = {}
        self.appended = asyncio.Event()

    @property
    def end_offset(self) -> int:
        """Offset of the next record."""
        return self.first_offset + len(self.records)

    def append(self, records: list[bytes]) -> int:
        """Append records and return the offset of the first one."""
        offset = self.end_offset
        self.records.extend(records)
        self.appended.set()
        self.appended = asyncio.Event()
        return offset


class PlatformStore:
    """Serves appends, reads and the newest record by key over HTTP.

    Attributes
    ----------
    refuse : bool
        Whether the response to all calls is 503.
    lose_answers : bool
        Whether appends are executed without a response.
    late_key : str
        Appends with a record of this key get no response and are executed
        ``late_s`` seconds later; empty for none.
    cut_pages : bool
        Whether a read returns the part of a record that fits.
    """

    def __init__(self) -> None:
        self.refuse = False
        self.lose_answers = False
        self.late_key = ""
        self.late_s = 0.0
        self.cut_pages = False
        self.appends = 0
        self._topics: dict[str, PlatformPartition] = {}
        self._newest: dict[str, dict[str, tuple[int, bytes]]] = {}
        self._server = HTTPServer(self._on_request)

    def listen(self, address: str) -> None:
        """Listen on an address."""
        host, _, port = address.rpartition(":")
        self._server.listen(int(port), host)

    def stop(self) -> None:
        """Stop listening."""
        self._server.stop()

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Write a record in the manner of an operator."""
        content = bytes((len(key),)) + key.encode() + value
        self._append(topic, [content])

    def compact(self, topic: str) -> None:
        """Compact a topic to the newest record of each key."""
        partition = self._partition(topic)
        partition.first_offset = partition.end_offset
        partition.records.clear()

    def _partition(self, topic: str) -> PlatformPartition:
        return self._topics.setdefault(topic, PlatformPartition())

    def _append(self, topic: str, contents: list[bytes]) -> int:
        offset = self._partition(topic).append(contents)
        newest = self._newest.setdefault(topic, {})
        for number, content in enumerate(contents):
            size = content[0]
            key = content[1 : 1 + size].decode()
            value = content[1 + size :]
            if value:
                newest[key] = (offset + number, value)
            else:
                newest.pop(key, None)
        return offset

    def _on_request(self, request: HTTPServerRequest) -> None:
        asyncio.ensure_future(self._serve(request))

    async def _serve(self, request: HTTPServerRequest) -> None:
        call = request.path.rpartition("/")[2]
        query = {k: v[0].decode() for k, v in request.arguments.items()}
        if self.refuse:
            self._respond(request, 503, b"")
            return
        if call == "log-append":
            if self.late_key and self.late_key.encode() in request.body:
                loop = asyncio.get_running_loop()
                loop.call_later(
                    self.late_s, self._serve_append, query, request.body
                )
                _drop_connection(request)
                return
            status, body = self._serve_append(query, request.body)
            if self.lose_answers:
                _drop_connection(request)
                return
            self._respond(request, status, body)
            return
        if call == "log-read":
            status, body = await self._serve_read(query)
            self._respond(request, status, body)
            return
        if call == "log-newest":
            self._respond(request, 200, self._serve_newest(query))
            return
        self._respond(request, 404, b"")

    def _serve_append(
        self, query: dict[str, str], body: bytes
    ) -> tuple[int, bytes]:
        self.appends += 1
        partition = self._partition(query["Topic"])
        producer = query.get("Producer")
        if producer is not None:
            epoch, sequence = int(query["epoch"]), int(query["Seq"])
            last = partition.producers.get(producer, (0, 0))
            if epoch < last[0]:
                return 409, _encode({"Reason": "fenced"})
            if epoch == last[0] and sequence == last[1]:
                return 200, _encode({"Offset": partition.end_offset})
            if epoch == last[0] and sequence != last[1] + 1:
                return 409, _encode({"Reason": "seq", "Seq": last[1] + 1})
            partition.producers[producer] = (epoch, sequence)
        contents = []
        position = 0
        while position < len(body):
            (size,) = RECORD_LENGTH.unpack_from(body, position)
            position += RECORD_LENGTH.size
            contents.append(body[position : position + size])
            position += size
        offset = self._append(query["Topic"], contents)
        return 200, _encode({"Offset": offset})

    async def _serve_read(self, query: dict[str, str]) -> tuple[int, bytes]:
        partition = self._partition(query["Topic"])
        start = int(query["From"])
        if start < partition.first_offset:
            return 410, _encode({"FirstOffset": partition.first_offset})
        if start >= partition.end_offset:
            wait_s = int(query.get("WaitMs", "0")) / 1000
            waiter = asyncio.ensure_future(partition.appended.wait())
            await asyncio.wait([waiter], timeout=wait_s)
            waiter.cancel()
        parts = [
            PAGE_HEADER.pack(partition.end_offset, partition.first_offset)
        ]
        left_bytes = 1_024 * int(query.get("MaxKb", MAX_READ_KB))
        for content in partition.records[start - partition.first_offset :]:
            record = RECORD_LENGTH.pack(len(content)) + content
            if len(record) > left_bytes:
                if self.cut_pages:
                    parts.append(record[:left_bytes])
                break
            left_bytes -= len(record)
            parts.append(record)
        return 200, b"".join(parts)

    def _serve_newest(self, query: dict[str, str]) -> bytes:
        topic = query["Topic"]
        after = query.get("DependsOn", "")
        newest = self._newest.get(topic, {})
        keys = sorted(key for key in newest if key > after)
        items: list[dict[str, Any]] = []
        left_bytes = MAX_PAGE_BYTES
        for key in keys[:MAX_PAGE_ITEMS]:
            left_bytes -= len(newest[key][1])
            if items and left_bytes < 0:
                break
            items.append(
                {
                    "Key": key,
                    "Value": base64.b64encode(newest[key][1]).decode(),
                    "Offset": newest[key][0],
                }
            )
        page = {
            "items": items,
            "HasMore": len(keys) > len(items),
            "EndOffset": self._partition(topic).end_offset,
        }
        return _encode(page)

    def _respond(
        self, request: HTTPServerRequest, status: int, body: bytes
    ) -> None:
        start = ResponseStartLine("HTTP/1.1", status, "")
        headers = HTTPHeaders({"Content-Length": str(len(body))})
        if request.connection is None:
            return
        try:
            request.connection.write_headers(start, headers, body)
            request.connection.finish()
        except StreamClosedError:
            return


def _drop_connection(request: HTTPServerRequest) -> None:
    """Close a connection without a response."""
    connection: Any = request.connection
    if connection is not None:
        connection.detach().close()


def _encode(value: Any) -> bytes:
    return msgspec.json.encode(value)
