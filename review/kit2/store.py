"""Stand-in of the platform's metadata store: logs with keyed topics."""

from __future__ import annotations

import asyncio
import base64
import struct
import time

import msgspec
from tornado.httpserver import HTTPServer

from kit2.http import respond

APPEND_S = 0.002
ANSWER_S = 0.004
RECORD_BYTES = 262_144
REQUEST_BYTES = 2_097_152
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
# A repeat of one of the last five appends of a producer gets its answer again.
REMEMBERED_APPENDS = 5


class Partition:
    """Partition 0 of a topic."""

    def __init__(self):
        self.records = []
        self.newest = {}
        self.epochs = {}
        self.grown = asyncio.Event()

    def append(self, contents):
        offset = len(self.records)
        for number, content in enumerate(contents):
            size = content[0]
            key = content[1 : 1 + size].decode()
            value = content[1 + size :]
            if value:
                self.newest[key] = (offset + number, value)
            else:
                self.newest.pop(key, None)
        self.records.extend(contents)
        self.grown.set()
        self.grown = asyncio.Event()
        return offset


class Store:
    """Serves log-append, log-read and log-newest.

    ``late_s`` may be set to a function of the topic and the keys of an
    append. If it returns a number, the append gets no answer and is executed
    after so many seconds.
    """

    def __init__(self, record):
        self.late_s = lambda topic, keys: None
        self.on_stored = lambda topic, keys: None
        self.appends = 0
        self.lost_appends = 0
        self.refused_appends = 0
        self._record = record
        self._topics = {}
        self._turn = asyncio.Lock()
        self._server = HTTPServer(self._on_request)
        self._tasks = set()

    def listen(self, ip, port):
        self._server.listen(port, ip)

    def stop(self):
        self._server.stop()
        for task in self._tasks:
            task.cancel()

    def put(self, topic, key, value):
        """Write a record as the operator does."""
        name = key.encode()
        self._partition(topic).append([bytes((len(name),)) + name + value])

    def _partition(self, topic):
        if topic not in self._topics:
            self._topics[topic] = Partition()
        return self._topics[topic]

    def _on_request(self, request):
        task = asyncio.ensure_future(self._serve(request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, request):
        call = request.path.rpartition("/")[2]
        query = {name: v[0].decode() for name, v in request.arguments.items()}
        await asyncio.sleep(ANSWER_S)
        if call == "log-append":
            await self._append(request, query)
        elif call == "log-read":
            await self._read(request, query)
        elif call == "log-newest":
            self._newest(request, query)
        else:
            respond(request, 404, b"")

    async def _append(self, request, query):
        topic = query["Topic"]
        contents = []
        position = 0
        while position < len(request.body):
            (size,) = struct.unpack_from(">I", request.body, position)
            contents.append(request.body[position + 4 : position + 4 + size])
            position += 4 + size
        keys = [c[1 : 1 + c[0]].decode() for c in contents]
        self.appends += 1
        too_large = len(request.body) > REQUEST_BYTES
        if too_large or any(len(c) > RECORD_BYTES for c in contents):
            self.refused_appends += 1
            largest = max(len(c) for c in contents)
            self._record(
                "store refuses an append with 400",
                largest_record=largest,
                keys=keys[:4],
            )
            respond(request, 400, b"")
            return
        late_s = self.late_s(topic, keys)
        if late_s is not None:
            self.lost_appends += 1
            self._record(
                "store leaves an append unanswered",
                keys=keys,
                executed_after_s=late_s,
            )
            await asyncio.sleep(late_s)
            self._execute(topic, query, contents)
            self._record("store executes that append", keys=keys)
            return
        async with self._turn:
            await asyncio.sleep(APPEND_S)
            status, answer = self._execute(topic, query, contents)
        respond(request, status, msgspec.json.encode(answer))
        if status == 200:
            self.on_stored(topic, keys)

    def _execute(self, topic, query, contents):
        partition = self._partition(topic)
        producer = query.get("Producer")
        if producer is None:
            offset = partition.append(contents)
            return 200, {"Offset": offset, "EndOffset": len(partition.records)}
        epoch, sequence = int(query["epoch"]), int(query["Seq"])
        known, last, answers = partition.epochs.get(producer, (-1, 0, {}))
        if epoch < known:
            return 409, {"Reason": "fenced"}
        if epoch == known and sequence in answers:
            return 200, answers[sequence]
        if epoch == known and sequence != last + 1:
            return 409, {"Reason": "seq", "Seq": last + 1}
        if epoch > known:
            answers = {}
        offset = partition.append(contents)
        answer = {"Offset": offset, "EndOffset": len(partition.records)}
        answers[sequence] = answer
        while len(answers) > REMEMBERED_APPENDS:
            del answers[min(answers)]
        partition.epochs[producer] = (epoch, sequence, answers)
        return 200, answer

    async def _read(self, request, query):
        partition = self._partition(query["Topic"])
        start = int(query["From"])
        until_s = time.monotonic() + int(query.get("WaitMs", "0")) / 1000
        while start >= len(partition.records):
            left_s = until_s - time.monotonic()
            if left_s <= 0:
                break
            waiter = asyncio.ensure_future(partition.grown.wait())
            await asyncio.wait([waiter], timeout=left_s)
            waiter.cancel()
        parts = [struct.pack(">QQ", len(partition.records), 0)]
        left = 1024 * int(query.get("MaxKb", "1024"))
        for content in partition.records[start:]:
            left -= 4 + len(content)
            if left < 0:
                break
            parts.append(struct.pack(">I", len(content)) + content)
        respond(request, 200, b"".join(parts))

    def _newest(self, request, query):
        partition = self._partition(query["Topic"])
        after = query.get("DependsOn", "")
        keys = sorted(key for key in partition.newest if key > after)
        items = []
        left = PAGE_BYTES
        for key in keys[:PAGE_ITEMS]:
            offset, value = partition.newest[key]
            left -= len(value)
            if items and left < 0:
                break
            text = base64.b64encode(value).decode()
            items.append({"Key": key, "Value": text, "Offset": offset})
        page = {
            "items": items,
            "HasMore": len(items) < len(keys),
            "EndOffset": len(partition.records),
        }
        respond(request, 200, msgspec.json.encode(page))
