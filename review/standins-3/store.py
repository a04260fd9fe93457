"""Stand-in of the platform's metadata store, as PROTOCOL.md describes it."""

from __future__ import annotations

import asyncio
import base64
import json
import struct

from http_service import serve

PAGE_HEADER = struct.Struct(">QQ")
RECORD_LENGTH = struct.Struct(">I")
RECORD_BYTES = 262_144
REQUEST_BYTES = 2_097_152
APPEND_S = 0.002
KEPT_ANSWERS = 5


class Partition:
    """The records of a topic's only partition."""

    def __init__(self):
        self.records = []
        self.newest = {}
        self.producers = {}
        self.lock = asyncio.Lock()
        self.appended = asyncio.Event()

    def add(self, contents):
        offset = len(self.records)
        for number, content in enumerate(contents):
            self.records.append(content)
            key_end = 1 + content[0]
            key, value = content[1:key_end], content[key_end:]
            if value:
                self.newest[key.decode()] = (offset + number, value)
            else:
                self.newest.pop(key.decode(), None)
        self.appended.set()
        self.appended = asyncio.Event()
        return offset


class Store:
    """Serves appends, reads and newest records.

    ``before(request)`` is awaited before each call and may raise NoAnswer or
    return an answer of its own. ``on_refused`` is called with the size of
    each record that is larger than the store takes.
    """

    def __init__(self, before=None, on_refused=lambda key, size: None):
        self.topics = {}
        self.before = before
        self.on_refused = on_refused
        self.server = None

    async def start(self, address):
        self.server = await serve(address, self.handle)

    def topic(self, name):
        return self.topics.setdefault(name, Partition())

    def put(self, topic, key, value):
        content = bytes((len(key),)) + key.encode() + json.dumps(value).encode()
        self.topic(topic).add([content])

    async def handle(self, request):
        if self.before is not None:
            answer = await self.before(request)
            if answer is not None:
                return answer
        call = request.path.rpartition("/")[2]
        if call == "log-append" and request.method == "POST":
            return await self.append(request)
        if call == "log-read" and request.method == "GET":
            return await self.read(request)
        if call == "log-newest" and request.method == "GET":
            return 200, self.page(request)
        return 404, {}

    async def append(self, request):
        contents, position = [], 0
        body = request.body
        if len(body) > REQUEST_BYTES:
            self.on_refused("", len(body))
            return 400, {}
        while position < len(body):
            (size,) = RECORD_LENGTH.unpack_from(body, position)
            position += RECORD_LENGTH.size
            content = body[position : position + size]
            if size > RECORD_BYTES:
                self.on_refused(content[1 : 1 + content[0]].decode(), size)
                return 400, {}
            contents.append(content)
            position += size
        partition = self.topic(request.query["Topic"])
        async with partition.lock:
            await asyncio.sleep(APPEND_S)
            return self.apply(partition, request.query, contents)

    def apply(self, partition, query, contents):
        producer = query.get("Producer")
        if producer is None:
            return 200, self.stored(partition, contents)
        epoch, sequence = int(query.get("epoch", 0)), int(query.get("Seq", 0))
        known = partition.producers.get(producer)
        if known is not None and epoch < known["epoch"]:
            return 409, {"Reason": "fenced"}
        if known is None or epoch > known["epoch"]:
            known = {"epoch": epoch, "last": sequence - 1, "answers": {}}
            partition.producers[producer] = known
        if not contents:
            return 200, {"Offset": len(partition.records)}
        if sequence in known["answers"]:
            return 200, known["answers"][sequence]
        if sequence != known["last"] + 1:
            return 409, {"Reason": "seq", "Seq": known["last"] + 1}
        answer = self.stored(partition, contents)
        known["last"] = sequence
        known["answers"][sequence] = answer
        while len(known["answers"]) > KEPT_ANSWERS:
            del known["answers"][next(iter(known["answers"]))]
        return 200, answer

    def stored(self, partition, contents):
        offset = partition.add(contents)
        return {"Offset": offset, "EndOffset": len(partition.records)}

    async def read(self, request):
        partition = self.topic(request.query["Topic"])
        start = int(request.query["From"])
        wait_s = int(request.query.get("WaitMs", 0)) / 1000
        if start >= len(partition.records) and wait_s:
            waiter = asyncio.ensure_future(partition.appended.wait())
            await asyncio.wait([waiter], timeout=wait_s)
            waiter.cancel()
        parts = [PAGE_HEADER.pack(len(partition.records), 0)]
        left = 1024 * int(request.query.get("MaxKb", 1024))
        for content in partition.records[start:]:
            left -= RECORD_LENGTH.size + len(content)
            if left < 0:
                break
            parts += [RECORD_LENGTH.pack(len(content)), content]
        return 200, b"".join(parts)

    def page(self, request):
        partition = self.topic(request.query["Topic"])
        after = request.query.get("DependsOn", "")
        keys = sorted(key for key in partition.newest if key > after)
        items, left = [], 1_000_000
        for key in keys[:500]:
            offset, value = partition.newest[key]
            left -= len(value)
            if items and left < 0:
                break
            text = base64.b64encode(value).decode()
            items.append({"Key": key, "Value": text, "Offset": offset})
        return {
            "items": items,
            "HasMore": len(keys) > len(items),
            "EndOffset": len(partition.records),
        }
