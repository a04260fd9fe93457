"""Conversion between the slices of a snapshot and its log records."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import xxhash

from yuccapoint.decoding import decode
from yuccapoint.exceptions import DecodingError
from yuccapoint.job.records import SnapshotChunk

if TYPE_CHECKING:
    from collections.abc import Iterable

CHUNK_BYTES = 128 * 1024
MAX_PARTIAL_SNAPSHOTS = 8
_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(list[bytes])


class Snapshot:
    """A complete snapshot of the state before ``next_offset``."""

    __slots__ = ("next_offset", "slices", "snapshot_id")

    def __init__(
        self, snapshot_id: str, next_offset: int, slices: list[bytes]
    ) -> None:
        self.snapshot_id = snapshot_id
        self.next_offset = next_offset
        self.slices = slices


def pack_chunks(
    snapshot_id: str, next_offset: int, slices: Iterable[bytes]
) -> list[SnapshotChunk]:
    """Pack slices into chunks of bounded size."""
    groups: list[list[bytes]] = [[]]
    size_bytes = 0
    for piece in slices:
        if size_bytes + len(piece) > CHUNK_BYTES and groups[-1]:
            groups.append([])
            size_bytes = 0
        groups[-1].append(piece)
        size_bytes += len(piece)
    return [
        SnapshotChunk(
            snapshot_id,
            index,
            len(groups),
            next_offset,
            _encode_payload(group),
        )
        for index, group in enumerate(groups)
    ]


class SnapshotAssembler:
    """Reassembles snapshots from chunks in the order of the log.

    An incomplete snapshot is never returned; a corrupt one is dropped.
    """

    def __init__(self) -> None:
        self._partial: dict[str, dict[int, SnapshotChunk]] = {}

    def add(self, chunk: SnapshotChunk) -> Snapshot | None:
        """Add a chunk; return the snapshot if it is complete."""
        chunks = self._partial.setdefault(chunk.snapshot_id, {})
        chunks[chunk.index] = chunk
        if len(chunks) < chunk.total:
            if len(self._partial) > MAX_PARTIAL_SNAPSHOTS:
                del self._partial[next(iter(self._partial))]
            return None
        del self._partial[chunk.snapshot_id]
        slices: list[bytes] = []
        for index in range(chunk.total):
            decoded = (
                _decode_payload(chunks[index].payload)
                if index in chunks
                else None
            )
            if decoded is None:
                return None
            slices.extend(decoded)
        return Snapshot(chunk.snapshot_id, chunk.next_offset, slices)


def _encode_payload(group: list[bytes]) -> bytes:
    data = _ENCODER.encode(group)
    return xxhash.xxh64_digest(data) + data


def _decode_payload(payload: bytes) -> list[bytes] | None:
    digest, data = payload[:8], payload[8:]
    if xxhash.xxh64_digest(data) != digest:
        return None
    try:
        return decode(_DECODER, data)
    except DecodingError:
        return None
