"""Parts of a body that fit a frame."""

from __future__ import annotations

from yuccapoint.connection.frame_stream import CHUNK_BYTES


def split_body(chunks: list[bytes]) -> list[bytes]:
    """Split a body into parts that fit a frame, without joining chunks."""
    parts = []
    for chunk in chunks:
        for start in range(0, len(chunk), CHUNK_BYTES):
            parts.append(chunk[start : start + CHUNK_BYTES])
    return parts
