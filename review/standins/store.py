"""Stand-in of the platform's store: topics with keyed partitions."""

import asyncio
import base64
import json
import struct

from httpio import HttpServer

PAGE = struct.Struct(">QQ")
LENGTH = struct.Struct(">I")
MAX_ITEMS = 500
MAX_PAGE_BYTES = 1_000_000
RECORD_BYTES = 262_144
REQUEST_BYTES = 2_097_152
APPEND_S = 0.002
REMEMBERED_APPENDS = 5


class Partition:
    def __init__(self):
        self.records = []
        self.newest = {}
        self.producers = {}
        self.changed = asyncio.Event()
        self.lock = asyncio.Lock()


class Store:
    """Serves appends, reads and the newest record of each key.

    ``gate`` is called with each request and may answer it instead: it
    returns None to serve it, or a status.
    """

    def __init__(self):
        self.partitions = {}
        self.gate = lambda request: None
        self.server = HttpServer(self.serve)

    async def listen(self, address):
        await self.server.listen(address)

    def close(self):
        self.server.close()

    def partition(self, topic, part=0):
        key = (topic, int(part))
        if key not in self.partitions:
            self.partitions[key] = Partition()
        return self.partitions[key]

    def put(self, topic, key, value):
        """Write a record in the manner of the operator."""
        content = bytes((len(key),)) + key.encode() + value
        self._add(self.partition(topic), topic, [content])

    def _add(self, partition, topic, contents):
        offset = len(partition.records)
        partition.records.extend(contents)
        if topic.startswith("keyed."):
            for number, content in enumerate(contents):
                size = content[0]
                key = content[1 : 1 + size].decode()
                value = content[1 + size :]
                if value:
                    partition.newest[key] = (offset + number, value)
                else:
                    partition.newest.pop(key, None)
        partition.changed.set()
        partition.changed = asyncio.Event()
        return offset

    async def serve(self, request):
        refusal = self.gate(request)
        if refusal is not None:
            return refusal, b""
        call = request.path.rpartition("/")[2]
        query = request.query
        if "Topic" not in query:
            return 400, b""
        partition = self.partition(query["Topic"], query.get("part", 0))
        if call == "log-append":
            async with partition.lock:
                await asyncio.sleep(APPEND_S)
                return self._append(partition, query, request.body)
        if call == "log-read":
            return await self._read(partition, query)
        if call == "log-newest":
            return 200, self._newest(partition, query)
        return 404, b""

    def _append(self, partition, query, body):
        contents, position = [], 0
        while position < len(body):
            (size,) = LENGTH.unpack_from(body, position)
            position += LENGTH.size
            contents.append(body[position : position + size])
            position += size
        total = sum(len(content) for content in contents)
        if total > REQUEST_BYTES or any(len(c) > RECORD_BYTES for c in contents):
            return 400, b""
        name = query.get("Producer")
        if name is not None:
            epoch, sequence = int(query["epoch"]), int(query["Seq"])
            last_epoch, last, answers = partition.producers.get(
                name, (-1, 0, {})
            )
            if epoch < last_epoch:
                return 409, dump({"Reason": "fenced"})
            if epoch == last_epoch:
                if sequence in answers:
                    return answers[sequence]
                if sequence != last + 1:
                    return 409, dump({"Reason": "seq", "Seq": last + 1})
            else:
                answers = {}
        offset = self._add(partition, query["Topic"], contents)
        answer = 200, dump(
            {"Offset": offset, "EndOffset": len(partition.records)}
        )
        if name is not None:
            answers[sequence] = answer
            for old in sorted(answers)[:-REMEMBERED_APPENDS]:
                del answers[old]
            partition.producers[name] = (epoch, sequence, answers)
        return answer

    async def _read(self, partition, query):
        start = int(query["From"])
        wait_s = min(30.0, int(query.get("WaitMs", 0)) / 1000)
        if start >= len(partition.records) and wait_s:
            changed = partition.changed
            try:
                await asyncio.wait_for(changed.wait(), wait_s)
            except TimeoutError:
                pass
        parts, size = [PAGE.pack(len(partition.records), 0)], 0
        for content in partition.records[start:]:
            size += len(content) + LENGTH.size
            if size > MAX_PAGE_BYTES:
                break
            parts.append(LENGTH.pack(len(content)) + content)
        return 200, b"".join(parts)

    def _newest(self, partition, query):
        after = query.get("DependsOn", "")
        keys = sorted(key for key in partition.newest if key > after)
        items, size = [], 0
        for key in keys:
            offset, value = partition.newest[key]
            size += len(value)
            if len(items) == MAX_ITEMS or (items and size > MAX_PAGE_BYTES):
                break
            items.append(
                {
                    "Key": key,
                    "Value": base64.b64encode(value).decode(),
                    "Offset": offset,
                }
            )
        return dump(
            {
                "items": items,
                "HasMore": len(items) < len(keys),
                "EndOffset": len(partition.records),
            }
        )


def dump(value):
    return json.dumps(value).encode()
