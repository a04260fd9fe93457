"""Messages that are sound but for one value, and their decoding."""

from __future__ import annotations

import copy
import random
from typing import Any
from typing import TYPE_CHECKING

import msgspec

from fuzzing.bad_input import nested_paths
from fuzzing.decode_sites import SITES

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fuzzing.decode_sites import DecodeSite

# From some 1,000 levels on, decoders raise RecursionError.
DEPTH = 20_000
# Replaced by a value that the encoders can't produce.
_PLACEHOLDER = "1f0c7b6e-placeholder"
# Encoded values that the encoders can't produce, or not from one value.
_RAW: dict[str, tuple[bytes, ...]] = {
    "json": (
        b"9" * 500,
        b"-" + b"9" * 4_000,
        b"9" * 5_000,
        b"1e308",
        b"1e400",
        b"-0.0",
        b"1" + b"0" * 400,
        b"NaN",
        b"Infinity",
        b'"\xff"',
        b'"\\ud800"',
        b'"\\u0000"',
        b'"' + b"x" * 70_000 + b'"',
        b'{"a":1,"a":[]}',
        b"[" + b"[]," * 5_000 + b"[]]",
        b"",
    ),
    "msgpack": (
        b"\xa2\xff\xff",
        b"\xcb\x7f\xf8" + b"\0" * 6,
        b"\xcb\x7f\xf0" + b"\0" * 6,
        b"\xcf" + b"\xff" * 8,
        b"\xd3\x80" + b"\0" * 7,
        b"\xd6\xff" + b"\xff" * 4,
        b"\xc7\x0c\xff" + b"\xff" * 12,
        b"\xd4\x05a",
        b"\x81\x80\x01",
        b"\x81\x91\x80\x01",
        b"\xdd" + b"\xff" * 4,
        b"\xdf" + b"\xff" * 4,
        b"\xc6" + b"\xff" * 4,
        b"\xc1",
        b"",
    ),
}
_VALUES: tuple[Any, ...] = (
    None,
    True,
    False,
    -1,
    0,
    1.5,
    -1e300,
    2**31,
    2**62,
    2**63 - 1,
    -(2**63),
    2**70,
    "",
    "\0",
    "\u00b2",
    "x" * 300,
    "../../etc",
    "a\r\nb: c",
    [],
    [[]] * 50,
    ["", "", ""],
    [1] * 9,
    {},
    {"Cpu": 1},
)
_NESTED = {
    "json": b"[" * DEPTH + b"]" * DEPTH,
    "msgpack": b"\x91" * DEPTH + b"\xc0",
}


def feed(name: str, data: bytes) -> bool:
    """Decode a message; return whether the place rejected it.

    Any exception but those that the place announces is a failure.
    """
    site = SITES[name]
    try:
        site.feed(data)
    except site.errors:
        return True
    except Exception as error:
        short = data[:120]
        raise AssertionError(f"{name}: {error!r} of {short!r}") from error
    return False


def feed_nested(name: str) -> int:
    """Decode messages with a value nested too deeply; return their number."""
    site = SITES[name]
    assert not feed(name, site.encode(site.sample)), "the sample is rejected"
    count = 0
    for data in _nested_messages(site):
        feed(name, data)
        count += 1
    return count


def _nested_messages(site: DecodeSite) -> Iterator[bytes]:
    nested = _NESTED[site.codec]
    yield nested
    yield nested[: DEPTH // 2]
    for path in nested_paths(site.sample):
        yield _insert(site, with_value(site.sample, path, _PLACEHOLDER))
    if isinstance(site.sample, dict):
        # A field that nobody reads is nested as well.
        yield _insert(site, {"Unread": _PLACEHOLDER, **site.sample})
    elif isinstance(site.sample, list):
        yield _insert(site, [*site.sample, _PLACEHOLDER])


def with_value(sample: Any, path: tuple[Any, ...], value: object) -> Any:
    """Return a copy of a message with one value replaced."""
    changed = copy.deepcopy(sample)
    target = changed
    for step in path[:-1]:
        target = target[step]
    target[path[-1]] = value
    return changed


def _insert(site: DecodeSite, message: object) -> bytes:
    """Encode a message whose placeholder becomes the nested value."""
    placeholder = _encoded_placeholder(site)
    data = site.encode(message)
    assert placeholder in data, data
    return data.replace(placeholder, _NESTED[site.codec])


def _encoded_placeholder(site: DecodeSite) -> bytes:
    if site.codec == "json":
        return msgspec.json.encode(_PLACEHOLDER)
    return msgspec.msgpack.encode(_PLACEHOLDER)


def feed_values(name: str, count: int) -> int:
    """Decode messages with odd values; return their number.

    Each value takes each place of the sample once, then ``count`` messages
    are drawn with two odd values, cut off or with changed bytes.
    """
    site = SITES[name]
    fed = 0
    for data in _messages_with_values(site):
        feed(name, data)
        fed += 1
    rng = random.Random(count)
    for _ in range(count):
        feed(name, _drawn_message(site, rng))
    return fed + count


def _messages_with_values(site: DecodeSite) -> Iterator[bytes]:
    for path in nested_paths(site.sample):
        for value in _VALUES:
            yield site.encode(with_value(site.sample, path, value))
        holder = site.encode(with_value(site.sample, path, _PLACEHOLDER))
        for raw in _RAW[site.codec]:
            yield holder.replace(_encoded_placeholder(site), raw)


def _drawn_message(site: DecodeSite, rng: random.Random) -> bytes:
    message = site.sample
    for _ in range(2):
        paths = nested_paths(message)
        if paths:
            value = rng.choice(_VALUES)
            message = with_value(message, rng.choice(paths), value)
    data = bytearray(site.encode(message))
    kind = rng.randrange(4)
    if kind == 0:
        return bytes(data[: rng.randrange(len(data))])
    if kind == 1:
        return bytes(data) + rng.randbytes(3)
    if kind == 2:
        for _ in range(rng.randrange(1, 4)):
            data[rng.randrange(len(data))] = rng.randrange(256)
    return bytes(data)
