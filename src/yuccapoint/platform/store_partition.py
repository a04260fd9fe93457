"""Client of the platform's store: one partition of a compacted topic."""

from __future__ import annotations

import base64
import struct
from typing import TYPE_CHECKING
from typing import TypeVar
from urllib.parse import urlencode

import msgspec

from yuccapoint.connection.cell_store import StoredRecord
from yuccapoint.connection.cell_store import StoreFencedError
from yuccapoint.connection.cell_store import StoreRecordsExpiredError
from yuccapoint.connection.cell_store import StoreRefusedError
from yuccapoint.connection.cell_store import StoreResponseLostError
from yuccapoint.connection.cell_store import StoreSequenceError
from yuccapoint.connection.http_client import HttpClient
from yuccapoint.connection.http_client import NotSentError
from yuccapoint.connection.http_client import ResponseLostError
from yuccapoint.connection.newest_page import NewestPage
from yuccapoint.connection.stored_page import StoredPage
from yuccapoint.decoding import decode_json
from yuccapoint.exceptions import DecodingError
from yuccapoint.platform.exceptions import MalformedMessageError

if TYPE_CHECKING:
    from yuccapoint.connection.http_response import HttpResponse

# Time to the response of a read, to each further part of it and to the
# response of a small append. Many times the usual 13 ms, and short enough to
# retry within a caller's deadline.
RESPONSE_TIMEOUT_S = 0.8
# An append gets more time by its size: the link may be narrow and shared.
MIN_LINK_BYTES_PER_S = 125_000
# Size of a page of a read. Other calls on the same link wait for it, and what
# has arrived is kept.
READ_PAGE_KB = 64
# The store's own limit, for a record that doesn't fit the page.
MAX_READ_KB = 1_024
STATUS_OK = 200
STATUS_CONFLICT = 409
STATUS_EXPIRED = 410
# The store did nothing: over its rate limit, unavailable, or full.
STATUSES_NOT_DONE = (429, 503, 507)
MAX_KEY_BYTES = 255
DecodedT = TypeVar("DecodedT")
READ_HEADER = struct.Struct(">QQ")
RECORD_LENGTH = struct.Struct(">I")


class _Appended(msgspec.Struct):
    offset: int = msgspec.field(name="Offset")


class _Conflict(msgspec.Struct):
    reason: str = msgspec.field(name="Reason", default="")
    expected: int = msgspec.field(name="Seq", default=0)


class _NewestItem(msgspec.Struct):
    key: str = msgspec.field(name="Key")
    value: str = msgspec.field(name="Value", default="")
    offset: int = msgspec.field(name="Offset", default=-1)


class _NewestPage(msgspec.Struct):
    items: list[_NewestItem] = msgspec.field(default_factory=list)
    has_more: bool = msgspec.field(name="HasMore", default=False)
    end_offset: int = msgspec.field(name="EndOffset", default=0)


class StorePartition:
    """Reads and appends one partition.

    Parameters
    ----------
    client : HttpClient
        Connections to the store.
    topic : str
        Name of the topic, without the prefix that makes the store keep the
        newest record of each key.
    partition : int
        Number of the partition.
    """

    def __init__(self, client: HttpClient, topic: str, partition: int) -> None:
        self._client = client
        self._topic = f"keyed.{topic}"
        self._partition = partition

    async def append(
        self,
        records: list[tuple[str, bytes | None]],
        *,
        writer: str = "",
        epoch: int = 0,
        sequence: int = 0,
        timeout_s: float = 0.0,
    ) -> int:
        """Append records; see ``CellStore.append``."""
        query: dict[str, str | int] = {}
        if writer:
            query = {"Producer": writer, "epoch": epoch, "Seq": sequence}
        body = b"".join(_encode_record(key, value) for key, value in records)
        transfer_s = len(body) / MIN_LINK_BYTES_PER_S
        response = await self._call(
            "POST",
            "log-append",
            query,
            body,
            (timeout_s or RESPONSE_TIMEOUT_S) + transfer_s,
        )
        if response.status == STATUS_CONFLICT:
            conflict = _decode_json(response.body, _Conflict)
            if conflict.reason == "fenced":
                raise StoreFencedError(
                    "append is fenced: a newer leader writes this cell"
                )
            raise StoreSequenceError(conflict.expected)
        if response.status != STATUS_OK:
            raise StoreResponseLostError(
                f"append failed with status {response.status}"
            )
        return _decode_json(response.body, _Appended).offset

    async def read(self, from_offset: int, wait_ms: int) -> StoredPage:
        """Read from an offset on; see ``CellStore.read``."""
        page = await self._read(from_offset, wait_ms, READ_PAGE_KB)
        if page.records or not page.behind:
            return page
        page = await self._read(from_offset, 0, MAX_READ_KB)
        if not page.records and page.behind:
            # It would be read without end.
            raise StoreResponseLostError(
                f"read from offset {from_offset} returned no whole record"
            )
        return page

    async def _read(
        self, from_offset: int, wait_ms: int, max_kb: int
    ) -> StoredPage:
        query = {"From": from_offset, "WaitMs": wait_ms, "MaxKb": max_kb}
        response = await self._call(
            "GET", "log-read", query, wait_s=wait_ms / 1000
        )
        if response.status == STATUS_EXPIRED:
            raise StoreRecordsExpiredError(
                f"the store no longer holds offset {from_offset}"
            )
        if response.status != STATUS_OK:
            raise StoreResponseLostError(
                f"read failed with status {response.status}"
            )
        return _decode_read(response.body, from_offset, 1_024 * max_kb)

    async def read_newest(self, after: str = "") -> NewestPage:
        """Read a page of the newest records; see ``CellStore.read_newest``."""
        # On the wire, the last key of the previous page is ``DependsOn``.
        query = {"DependsOn": after} if after else {}
        response = await self._call("GET", "log-newest", query)
        if response.status != STATUS_OK:
            raise StoreResponseLostError(
                f"newest-records read failed with status {response.status}"
            )
        page = _decode_json(response.body, _NewestPage)
        records = [
            StoredRecord(item.offset, item.key, _decode_value(item.value))
            for item in page.items
        ]
        if records and records[-1].key == after:
            # It would be read without end.
            raise StoreResponseLostError(
                f"page of newest records repeats key {after[:80]!r}"
            )
        has_more = page.has_more and bool(records)
        return NewestPage(records, page.end_offset, has_more=has_more)

    async def _call(
        self,
        method: str,
        operation: str,
        query: dict[str, str | int] | dict[str, int] | dict[str, str],
        body: bytes = b"",
        timeout_s: float = 0.0,
        wait_s: float = 0.0,
    ) -> HttpResponse:
        """Call the store; without a timeout the response is a read's."""
        parameters = {"Topic": self._topic, "part": self._partition, **query}
        target = f"/yuccapoint/{operation}?{urlencode(parameters)}"
        try:
            response = await self._client.call(
                method,
                target,
                body,
                timeout_s=timeout_s or RESPONSE_TIMEOUT_S + wait_s,
                wait_s=wait_s,
                stall_timeout_s=0.0 if timeout_s else RESPONSE_TIMEOUT_S,
            )
        except NotSentError as error:
            raise StoreRefusedError(str(error)) from None
        except ResponseLostError as error:
            raise StoreResponseLostError(str(error)) from None
        if response.status in STATUSES_NOT_DONE:
            raise StoreRefusedError(
                f"store refused {operation} with status {response.status}"
            )
        return response


def _encode_record(key: str, value: bytes | None) -> bytes:
    name = key.encode()
    if len(name) > MAX_KEY_BYTES:
        raise MalformedMessageError(
            f"key {key!r} exceeds the store's key length"
        )
    content = bytes((len(name),)) + name + (value or b"")
    return RECORD_LENGTH.pack(len(content)) + content


def _decode_read(data: bytes, from_offset: int, max_bytes: int) -> StoredPage:
    if len(data) < READ_HEADER.size:
        raise MalformedMessageError("read response is shorter than its header")
    end_offset, _ = READ_HEADER.unpack_from(data)
    records: list[StoredRecord] = []
    offset = from_offset
    position = READ_HEADER.size
    while position + RECORD_LENGTH.size <= len(data):
        (size,) = RECORD_LENGTH.unpack_from(data, position)
        position += RECORD_LENGTH.size
        content = data[position : position + size]
        if len(content) < size:
            if not records and len(data) < max_bytes:
                raise MalformedMessageError("read response is cut off")
            # The record is read again.
            break
        position += size
        records.append(_decode_record(content, offset))
        offset += 1
    return StoredPage(records, offset, end_offset)


def _decode_record(content: bytes, offset: int) -> StoredRecord:
    key_bytes = content[0] if content else 0
    key = content[1 : 1 + key_bytes].decode("utf-8", "replace")
    value = content[1 + key_bytes :]
    return StoredRecord(offset, key, value or None)


def _decode_value(text: str) -> bytes:
    """Return a value; empty if it is damaged, which its reader rejects."""
    try:
        return base64.b64decode(text)
    except ValueError:
        return b""


def _decode_json(body: bytes, kind: type[DecodedT]) -> DecodedT:
    try:
        return decode_json(body, kind)
    except DecodingError as error:
        raise StoreResponseLostError(
            f"store response is invalid: {error}"
        ) from None
