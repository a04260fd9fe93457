"""JSON bodies of the operators' HTTP interface."""

from __future__ import annotations

import msgspec

from yuccapoint.version.pool import Pool
from yuccapoint.version.route import Route


class RouteView(msgspec.Struct, frozen=True):
    """A route, and the version and operator that wrote it."""

    row: Route
    version: int
    operator: str


class PoolView(msgspec.Struct, frozen=True):
    """A pool, and the version and operator that wrote it."""

    row: Pool
    version: int
    operator: str


class TablesView(msgspec.Struct, frozen=True):
    """The tables of routes and pools."""

    version: int
    routes: list[RouteView]
    pools: list[PoolView]


class EditBody(msgspec.Struct, frozen=True):
    """An edit: the row to set, or no row to remove it."""

    edit_id: str
    expected_version: int
    route: Route | None = None
    pool: Pool | None = None


class EditAnswer(msgspec.Struct, frozen=True):
    """Outcome of an edit; ``refusal`` is empty if accepted.

    ``route`` or ``pool`` is the current row.
    """

    version: int
    refusal: str
    route: RouteView | None = None
    pool: PoolView | None = None
    warnings: list[str] = []


class EditStatus(msgspec.Struct, frozen=True):
    """Status of an edit as of the log offset that was read.

    ``fate`` is ``accepted``, ``refused``, ``not accepted`` (it never
    reached the log) or ``unknown`` (query again later).
    """

    edit_id: str
    fate: str
    version: int
    refusal: str
    log_offset: int


class JobStepView(msgspec.Struct, frozen=True):
    """One step in a job's history."""

    at_ms: int
    text: str


class JobView(msgspec.Struct, frozen=True):
    """A job, its state and its history."""

    job_id: str
    team: str
    customer: str
    state: str
    attempt: int
    vm: str
    urgent: bool
    checkpoint: str
    steps: list[JobStepView]


class VmStatus(msgspec.Struct, frozen=True):
    """A VM as known to the entry."""

    vm: str
    pool: str
    leader: str
    term: int
    tables_version: int
    free_millicores: int
    tasks: int
    silent_s: float


class EndpointStatus(msgspec.Struct, frozen=True):
    """An endpoint as known to the entry."""

    endpoint: str
    service: str
    state: str
    load: float
    failure_rate: float


class EntryStatus(msgspec.Struct, frozen=True):
    """An entry as of its last heartbeat."""

    entry: str
    data_centre: str
    tables_version: int
    log_offset: int


class Status(msgspec.Struct, frozen=True):
    """Status of the system as known to an entry."""

    entry: str
    tables_version: int
    log_offset: int
    log_fault: str
    lead_left_s: float
    in_flight: int
    queued_jobs: int
    entries: list[EntryStatus]
    vms: list[VmStatus]
    endpoints: list[EndpointStatus]


class DecisionView(msgspec.Struct, frozen=True):
    """A decision and the values behind it."""

    part: str
    text: str
    fields: dict[str, str | int | float]


class Explanation(msgspec.Struct, frozen=True):
    """Explanation of a job's state."""

    job: JobView
    why: str
    decisions: list[DecisionView]


class RequestExplanation(msgspec.Struct, frozen=True):
    """Recorded routing decisions of a request."""

    request_id: str
    decisions: list[DecisionView]


class DrainAnswer(msgspec.Struct, frozen=True):
    """A drain was requested from a VM's agent."""

    vm: str


class ErrorBody(msgspec.Struct, frozen=True):
    """An error, and whether the operation may have taken effect."""

    error: str
    verdict: str
