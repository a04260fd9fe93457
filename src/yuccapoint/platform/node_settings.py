"""Settings that the platform passes to a process."""

from __future__ import annotations

import os
import pathlib
from typing import Any

import msgspec

from yuccapoint.cell.entry_capacity import EntryCapacity
from yuccapoint.decoding import decode_json
from yuccapoint.exceptions import DecodingError
from yuccapoint.exceptions import SettingsError

SETTINGS_VARIABLE = "YUCCAPOINT_NODE_FILE"
# Limit of the figures of a machine that entries tell each other.
MAX_COUNT = 10**12


class _PascalCaseStruct(msgspec.Struct, rename="pascal"):
    """Base of structs whose keys are in Pascal case on the wire."""


class ListenAddresses(_PascalCaseStruct):
    """Listen addresses; empty for interfaces that the role doesn't serve."""

    # Job requests of callers.
    front: str = ""
    # Readiness checks.
    ready: str = ""
    # Check-ins of the worker; not the control messages between processes.
    control: str = ""


class Limits(_PascalCaseStruct):
    """What the platform lets this VM use.

    Attributes
    ----------
    cpu_share : float or None
        Share of a processor, if there is a limit.
    cores : float or None
        How many times as fast as one core that share is.
    link_mbps : float or None
        Rate of the link in Mbit/s, if there is a limit.
    """

    cpu_share: float | None = None
    cores: float | None = None
    link_mbps: float | None = None


class Bounds(msgspec.Struct):
    """Time limits that the platform promises or requires."""

    drain_ms: int = msgspec.field(name="DrainMs", default=2_500)
    grace_s: float = msgspec.field(name="GraceS", default=6.0)
    stop_timeout_ms: int = msgspec.field(name="StopTimeoutMs", default=900)
    # How long ended jobs are kept.
    ended_retention_s: float = msgspec.field(name="status_s", default=120.0)
    # Workers shorten longer leases to this.
    max_hold_ms: int = msgspec.field(name="MaxHoldMs", default=6_000)


class StoreSettings(msgspec.Struct):
    """Address and limits of the store."""

    address: str = msgspec.field(name="Address", default="")
    writes_per_s: float = msgspec.field(name="WritesPerS", default=800.0)
    reads_per_s: float = msgspec.field(name="ReadsPerS", default=2_000.0)
    max_record_bytes: int = msgspec.field(name="RecordBytes", default=262_144)
    max_append_bytes: int = msgspec.field(
        name="RequestBytes", default=2_097_152
    )


class NodeSettings(_PascalCaseStruct):
    """Settings of this process and its VM.

    Attributes
    ----------
    worker_address : str
        Address of the worker on this VM; ``app`` on the wire.
    port_range : tuple of int
        First and last port for traffic between processes.
    """

    node_name: str
    ip: str
    zone: str
    region: str
    listen_addrs: ListenAddresses
    port_range: tuple[int, int]
    platform: StoreSettings = msgspec.field(name="platform")
    role: str = ""
    bounds: Bounds = msgspec.field(default_factory=Bounds)
    advisor: str | None = None
    worker_address: str | None = msgspec.field(name="app", default=None)
    # Decoded apart, as a process works without them.
    limits: Any = None

    @property
    def peer_address(self) -> str:
        """Address on which this process receives control messages."""
        return f"{self.ip}:{self.port_range[0]}"

    def read_capacity(self) -> EntryCapacity:
        """Return what this VM can carry as an entry.

        Raises
        ------
        SettingsError
            The limits can't be used.
        """
        try:
            limits = msgspec.convert(self.limits or {}, Limits)
            processors = (limits.cpu_share or 0.0) * (limits.cores or 1.0)
            return EntryCapacity(
                millicores=_parse_count(1_000 * processors),
                link_kbps=_parse_count(1_000 * (limits.link_mbps or 0.0)),
            )
        except (msgspec.ValidationError, OverflowError, ValueError) as error:
            raise SettingsError(f"limits can't be used: {error}") from None


def _parse_count(value: float) -> int:
    if not 0 <= value <= MAX_COUNT:
        raise ValueError(f"{value} is not between 0 and {MAX_COUNT}")
    return int(value)


def settings_path() -> pathlib.Path:
    """Return the path of the settings file.

    Raises
    ------
    SettingsError
        The environment variable is not set.
    """
    path = os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        raise SettingsError(f"{SETTINGS_VARIABLE} is not set")
    return pathlib.Path(path)


def load_node_settings(path: pathlib.Path) -> NodeSettings:
    """Read the settings file.

    Raises
    ------
    SettingsError
        The file can't be read, is not valid JSON or lacks a key.
    """
    try:
        return decode_json(path.read_bytes(), NodeSettings)
    except OSError as error:
        raise SettingsError(
            f"can't read settings file {path}: {error}"
        ) from None
    except DecodingError as error:
        raise SettingsError(
            f"settings file {path} is invalid: {error}"
        ) from None
