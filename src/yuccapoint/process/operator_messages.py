"""Bodies of the operators' HTTP interface, in JSON."""

from __future__ import annotations

import msgspec

from yuccapoint.version.pool import Pool
from yuccapoint.version.route import Route


class RouteView(msgspec.Struct, frozen=True):
    """A route and the version that wrote it."""

    row: Route
    version: int
    operator: str


class PoolView(msgspec.Struct, frozen=True):
    """A pool and the version that wrote it."""

    row: Pool
    version: int
    operator: str


class TablesView(msgspec.Struct, frozen=True):
    """Both tables."""

    version: int
    routes: list[RouteView]
    pools: list[PoolView]


class EditBody(msgspec.Struct, frozen=True):
    """An edit: the row to set, or none to remove it."""

    edit_id: str
    expected_version: int
    route: Route | None = None
    pool: Pool | None = None


class EditAnswer(msgspec.Struct, frozen=True):
    """How an edit was decided; ``refusal`` empty when accepted.

    ``route`` or ``pool`` is the row as it is now.
    """

    version: int
    refusal: str
    route: RouteView | None = None
    pool: PoolView | None = None
    warnings: list[str] = []


class EditStatus(msgspec.Struct, frozen=True):
    """What became of an edit, as of the log offset that was read.

    ``fate`` is ``accepted``, ``refused``, ``not accepted`` (it never
    reached the log) or ``unknown`` (ask again).
    """

    edit_id: str
    fate: str
    version: int
    refusal: str
    log_offset: int


class JobStepView(msgspec.Struct, frozen=True):
    """One step of a job."""

    at_ms: int
    text: str


class JobView(msgspec.Struct, frozen=True):
    """A job and its state."""

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
    """A VM as the entry knows it."""

    vm: str
    pool: str
    leader: str
    term: int
    tables_version: int
    free_millicores: int
    tasks: int
    silent_s: float


class EndpointStatus(msgspec.Struct, frozen=True):
    """An endpoint as the entry knows it."""

    endpoint: str
    service: str
    state: str
    load: float
    failure_rate: float


class EntryStatus(msgspec.Struct, frozen=True):
    """An entry as it said last."""

    entry: str
    data_centre: str
    tables_version: int
    log_offset: int


class Status(msgspec.Struct, frozen=True):
    """All that an entry knows of the system."""

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
    """A decision and what was weighed."""

    part: str
    text: str
    fields: dict[str, str | int | float]


class Explanation(msgspec.Struct, frozen=True):
    """Why a job is where it is."""

    job: JobView
    why: str
    decisions: list[DecisionView]


class RequestExplanation(msgspec.Struct, frozen=True):
    """Where a request went and what was weighed, the newest ones."""

    request_id: str
    decisions: list[DecisionView]


class DrainAnswer(msgspec.Struct, frozen=True):
    """A VM was asked to drain."""

    vm: str


class ErrorBody(msgspec.Struct, frozen=True):
    """An error and whether what was asked may have happened."""

    error: str
    verdict: str
