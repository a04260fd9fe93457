"""Wire format of the operator's config in the store."""

from __future__ import annotations

from typing import Annotated

import msgspec

from yuccapoint.cell.queue_rules import QueueRules
from yuccapoint.decoding import decode_json
from yuccapoint.exceptions import DecodingError
from yuccapoint.platform.exceptions import MalformedMessageError
from yuccapoint.version.queue_table import QueueRoute
from yuccapoint.version.queue_table import QueueTable

CONFIG_TOPIC = "op"
CONFIG_KEY = "config"
DEFAULT_MAX_BODY_BYTES = 262_144
# Stored with each job, in 64 bits; deadlines are computed from it.
MAX_NUMBER = 2**42
_Number = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
_Factor = Annotated[float, msgspec.Meta(ge=0, le=MAX_NUMBER)]


class _Advisor(msgspec.Struct, rename="pascal"):
    validity_ms: _Number = 0


class _Route(msgspec.Struct, rename="pascal"):
    name: str
    host: str
    path_prefix: str
    # Name of the pool whose workers run the queue's tasks.
    service: str
    priority: _Number = 0
    max_attempts: _Number = 1
    slo_factor: _Factor = 1.0
    slo_ms: _Number = 0
    advisor: _Advisor | None = None


class _Limits(msgspec.Struct, rename="pascal"):
    max_body_bytes: _Number = DEFAULT_MAX_BODY_BYTES


class _Config(msgspec.Struct, rename="pascal"):
    version: _Number
    routes: list[_Route] = msgspec.field(default_factory=list)
    limits: _Limits = msgspec.field(default_factory=_Limits)


def decode_config(value: bytes) -> QueueTable:
    """Decode a config record into a table of routes.

    Raises
    ------
    MalformedMessageError
        The record is not valid JSON or lacks a field.
    """
    try:
        config = decode_json(value, _Config)
    except DecodingError as error:
        raise MalformedMessageError(
            f"config record is invalid: {error}"
        ) from None
    routes = []
    for route in config.routes:
        rules = QueueRules(
            route=route.name,
            pool=route.service,
            priority=route.priority,
            max_attempts=max(1, route.max_attempts),
            objective_factor=route.slo_factor,
            objective_ms=route.slo_ms,
            advice_valid_ms=0
            if route.advisor is None
            else route.advisor.validity_ms,
        )
        routes.append(
            QueueRoute(route.host, route.path_prefix, rules, config.version)
        )
    return QueueTable(config.version, routes, config.limits.max_body_bytes)
