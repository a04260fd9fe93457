"""Sections of the settings files, with value ranges."""

from __future__ import annotations

import ipaddress
from typing import Annotated
from typing import Literal

import pydantic

from yuccapoint.decoding import parse_number

MAX_PORT = 65_535


def _check_address(text: str) -> str:
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        raise ValueError("should be an IP address and a port") from None
    number = parse_number(port)
    if number is None or number > MAX_PORT:
        raise ValueError(f"should have a port between 0 and {MAX_PORT}")
    return text


def _split_addresses(value: object) -> object:
    if not isinstance(value, str):
        return value
    return [part.strip() for part in value.split(",") if part.strip()]


Address = Annotated[str, pydantic.AfterValidator(_check_address)]
Addresses = Annotated[
    list[Address], pydantic.BeforeValidator(_split_addresses)
]
Name = Annotated[str, pydantic.Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*$")]


class Section(pydantic.BaseModel):
    """Base of the sections; unknown keys are faults."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class ProcessSection(Section):
    """Name and location of the process."""

    name: Name
    data_centre: Name
    region: Name


class VmSection(ProcessSection):
    """The VM that an agent manages."""

    rack: Name
    pool: Name


class EntryListenSection(Section):
    """Addresses that an entry listens on."""

    caller_address: Address
    operator_address: Address
    control_address: Address


class AgentListenSection(Section):
    """Addresses that an agent listens on."""

    announce_address: Address
    control_address: Address
    session_address: Address


class LogSection(Section):
    """Connection to the log service, and the snapshot interval."""

    address: Address
    stream: Name = "cell"
    snapshot_every_records: int = pydantic.Field(25_000, ge=1)
    snapshot_every_s: float = pydantic.Field(900.0, gt=0)
    timeout_s: float = pydantic.Field(2.0, gt=0, le=60)


class EntriesSection(Section):
    """Control addresses of some entries; others are discovered."""

    seeds: Addresses


class WorkerSection(Section):
    """Connection to the worker on the VM."""

    address: Address
    timeout_s: float = pydantic.Field(2.0, gt=0, le=60)


class EntryLimitsSection(Section):
    """Limits of an entry."""

    max_body_bytes: int = pydantic.Field(16_777_216, ge=1)
    max_in_flight: int = pydantic.Field(2_000, ge=1)
    drain_timeout_s: float = pydantic.Field(30.0, gt=0, le=3600)
    cross_region_bytes_per_s: int = pydantic.Field(1_875_000, ge=0)


class AgentLimitsSection(Section):
    """Limits of an agent for each endpoint."""

    slots: int = pydantic.Field(8, ge=1, le=10_000)
    connections: int = pydantic.Field(64, ge=1, le=100_000)
    max_body_bytes: int = pydantic.Field(16_777_216, ge=1)
    drain_timeout_s: float = pydantic.Field(30.0, gt=0, le=3600)


class AccessSection(Section):
    """Credential files; an empty path disables the check."""

    tokens_file: str = ""
    tls_certificate_file: str = ""
    tls_key_file: str = ""
    tls_client_ca_file: str = ""


class LogsSection(Section):
    """Output format of the process's log lines."""

    form: Literal["text", "json", "none"] = "text"


class EntrySettings(Section):
    """All settings of an entry."""

    process: ProcessSection
    listen: EntryListenSection
    log: LogSection
    entries: EntriesSection
    limits: EntryLimitsSection = EntryLimitsSection()
    access: AccessSection = AccessSection()
    logs: LogsSection = LogsSection()


class AgentSettings(Section):
    """All settings of an agent."""

    process: VmSection
    listen: AgentListenSection
    worker: WorkerSection
    entries: EntriesSection
    limits: AgentLimitsSection = AgentLimitsSection()
    logs: LogsSection = LogsSection()
