"""Decoding of bytes that other processes, callers and operators wrote."""

from __future__ import annotations

from typing import TypeVar

import msgspec

from yuccapoint.exceptions import DecodingError

DecodedT = TypeVar("DecodedT")
# Holds the numbers of 64 bits.
MAX_DIGITS = 19


def decode_json(data: bytes, kind: type[DecodedT]) -> DecodedT:
    """Decode JSON.

    Raises
    ------
    DecodingError
        The bytes are not valid JSON of this type, or are nested too deeply.
    """
    return decode(msgspec.json.Decoder(kind), data)


def decode(
    decoder: msgspec.json.Decoder[DecodedT]
    | msgspec.msgpack.Decoder[DecodedT],
    data: bytes | memoryview | msgspec.Raw,
) -> DecodedT:
    """Decode bytes.

    Raises
    ------
    DecodingError
        The bytes are not a valid value of the decoder's type, or are nested
        too deeply.
    """
    try:
        return decoder.decode(data)
    except msgspec.DecodeError as error:
        raise DecodingError(str(error)) from None
    except RecursionError:
        # Not a DecodeError; fields that no type names are nested as well.
        raise DecodingError("the value is nested too deeply") from None


def parse_number(text: str) -> int | None:
    """Return the number that ASCII digits stand for, or None.

    ``str.isdigit`` is true for more digits than ``int`` reads, and ``int``
    refuses texts of some thousand digits.
    """
    if len(text) > MAX_DIGITS or not text.isascii() or not text.isdigit():
        return None
    return int(text)
