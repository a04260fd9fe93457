"""The settings that the platform gives to a process."""

from __future__ import annotations

import os
import pathlib

import msgspec

from yuccapoint.exceptions import SettingsError

SETTINGS_VARIABLE = "YUCCAPOINT_NODE_FILE"


class _PascalCaseStruct(msgspec.Struct, rename="pascal"):
    """Keys are spelled in the platform's way."""


class ListenAddresses(_PascalCaseStruct):
    """Addresses to listen on; empty for what the role doesn't serve."""

    front: str = ""
    ready: str = ""
    control: str = ""


class Bounds(msgspec.Struct):
    """The platform's promised and demanded times that are used here."""

    drain_ms: int = msgspec.field(name="DrainMs", default=2_500)
    grace_s: float = msgspec.field(name="GraceS", default=6.0)
    stop_timeout_ms: int = msgspec.field(name="StopTimeoutMs", default=900)
    ended_retention_s: float = msgspec.field(name="status_s", default=120.0)


class StoreSettings(msgspec.Struct):
    """Where the store is and how much it takes."""

    address: str = msgspec.field(name="Address", default="")
    writes_per_s: float = msgspec.field(name="WritesPerS", default=800.0)
    reads_per_s: float = msgspec.field(name="ReadsPerS", default=2_000.0)
    max_record_bytes: int = msgspec.field(name="RecordBytes", default=262_144)
    max_append_bytes: int = msgspec.field(
        name="RequestBytes", default=2_097_152
    )


class NodeSettings(_PascalCaseStruct):
    """What the platform says of this process and its VM.

    Attributes
    ----------
    worker_address : str
        Where the worker of this VM takes calls; named ``app`` there.
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

    @property
    def peer_address(self) -> str:
        """Where control messages of other processes arrive."""
        return f"{self.ip}:{self.port_range[0]}"


def settings_path() -> pathlib.Path:
    """Give the path of the settings file.

    Raises
    ------
    SettingsError
        The platform did not name one.
    """
    path = os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        raise SettingsError(f"{SETTINGS_VARIABLE} names no settings file")
    return pathlib.Path(path)


def load_node_settings(path: pathlib.Path) -> NodeSettings:
    """Read the settings file.

    Raises
    ------
    SettingsError
        The file can't be read or lacks what is needed.
    """
    try:
        return msgspec.json.decode(path.read_bytes(), type=NodeSettings)
    except OSError as error:
        raise SettingsError(f"can't read {path}: {error}") from None
    except msgspec.DecodeError as error:
        raise SettingsError(f"{path}: {error}") from None
