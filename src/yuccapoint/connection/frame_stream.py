"""Reads and writes frames on a tornado stream."""

from __future__ import annotations

import fcntl
import select
import struct
import sys
import termios
from typing import TYPE_CHECKING

import msgspec

from yuccapoint.connection.frames import Frame
from yuccapoint.decoding import decode
from yuccapoint.exceptions import DecodingError
from yuccapoint.exceptions import ProtocolError

if TYPE_CHECKING:
    import asyncio

    from tornado.iostream import IOStream

CHUNK_BYTES = 65_536
MAX_FRAME_BYTES = 4 * CHUNK_BYTES
_LENGTH_PREFIX = struct.Struct("!I")


class FrameStream:
    """Length-prefixed msgpack frames on a stream.

    Parameters
    ----------
    stream : IOStream
        An open stream.
    """

    def __init__(self, stream: IOStream) -> None:
        self._stream = stream
        self._buffer = bytearray()
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Frame)
        stream.set_nodelay(True)

    @property
    def closed(self) -> bool:
        """Whether the stream was closed by either side."""
        return bool(self._stream.closed())

    @property
    def writing(self) -> bool:
        """Whether written frames are still in the buffer."""
        return bool(self._stream.writing())

    @property
    def delivered(self) -> bool:
        """Whether the peer's kernel has received all written frames.

        A close earlier discards the others if the peer still sends.
        """
        if self._stream.writing():
            return False
        sock = self._stream.socket
        if sock is None:
            return True
        unacknowledged = fcntl.ioctl(sock, termios.TIOCOUTQ, bytes(4))
        return not int.from_bytes(unacknowledged, sys.byteorder)

    @property
    def unread(self) -> bool:
        """Whether a frame, or a part of one, has arrived unread."""
        sock = self._stream.socket
        if self._buffer or sock is None:
            return bool(self._buffer)
        poll = select.poll()
        poll.register(sock, select.POLLIN)
        return bool(poll.poll(0))

    def write(self, frame: Frame) -> asyncio.Future[None]:
        """Write a frame; the future is done when it has left the buffer.

        Raises
        ------
        StreamClosedError
            The stream is closed; nothing was sent.
        """
        data = self._encoder.encode(frame)
        return self._stream.write(_LENGTH_PREFIX.pack(len(data)) + data)

    async def read(self) -> list[Frame]:
        """Read the next frames.

        Raises
        ------
        StreamClosedError
            The peer closed the stream.
        ProtocolError
            The peer sent a malformed frame.
        """
        while True:
            frames = self._decode_buffered()
            if frames:
                return frames
            self._buffer += await self._stream.read_bytes(
                CHUNK_BYTES, partial=True
            )

    def close(self) -> None:
        """Close the stream."""
        self._stream.close()

    def _decode_buffered(self) -> list[Frame]:
        frames = []
        start = 0
        while len(self._buffer) - start >= _LENGTH_PREFIX.size:
            (length,) = _LENGTH_PREFIX.unpack_from(self._buffer, start)
            if length > MAX_FRAME_BYTES:
                raise ProtocolError(
                    f"frame of {length} bytes exceeds the limit"
                )
            end = start + _LENGTH_PREFIX.size + length
            if end > len(self._buffer):
                break
            body = memoryview(self._buffer)[start + _LENGTH_PREFIX.size : end]
            frames.append(self._decode(body))
            body.release()
            start = end
        if start:
            del self._buffer[:start]
        return frames

    def _decode(self, body: memoryview) -> Frame:
        try:
            frame: Frame = decode(self._decoder, body)
        except DecodingError as error:
            raise ProtocolError(f"malformed frame: {error}") from None
        return frame
