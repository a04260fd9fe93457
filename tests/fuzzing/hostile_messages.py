"""Messages that are sound but for one value, and their decoding."""

from __future__ import annotations

import copy
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
    if site.codec == "json":
        placeholder = msgspec.json.encode(_PLACEHOLDER)
    else:
        placeholder = msgspec.msgpack.encode(_PLACEHOLDER)
    data = site.encode(message)
    assert placeholder in data, data
    return data.replace(placeholder, _NESTED[site.codec])
