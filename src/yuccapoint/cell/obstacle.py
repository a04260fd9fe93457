"""Reasons why a VM gets no run of a task."""

from __future__ import annotations

import enum


class Obstacle(enum.StrEnum):
    """Reason why a VM is left out; the value is the name of a log field."""

    NO_WORKER = "no_worker"
    LEASE_EXPIRED = "lease_expired"
    DRAINING = "draining"
    OTHER_LEADER = "other_leader"
    RUNS_NOT_LISTED = "runs_not_listed"
    REFUSED_LATELY = "refused_lately"
    CONFIRMS_NO_ORDERS = "confirms_no_orders"
    SILENT = "silent"
    QUARANTINE = "quarantine"
    PROBATION = "probation"
    LABEL = "label"
    NO_ROOM = "no_room"
    MAX_PER_VM = "max_per_vm"
    OVERLOAD = "overload"
    NO_TICKET = "no_ticket"
    KEPT_FOR_SUSPECT = "kept_for_suspect"
    STARTING_RUNS = "starting_runs"
