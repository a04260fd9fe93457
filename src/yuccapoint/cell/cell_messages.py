"""Control messages between a cell's leader and the agents of its VMs.

Each message carries its full state and may be lost, duplicated or delayed.
Senders number their messages and receivers drop outdated ones.
"""

from __future__ import annotations

import enum

import msgspec

from yuccapoint.cell.crash_messages import CrashReport
from yuccapoint.cell.occurrence_state import WorkerInstance
from yuccapoint.cell.queue_address import QueueAddress
from yuccapoint.job.interference.pair_report import PairEstimate
from yuccapoint.job.size import Size

# Reasons of an agent for refusing a start.
REASON_DRAINING = "draining"
REASON_UNREACHABLE = "unreachable"
# The worker refuses with the same reason.
REASON_NO_ROOM = "room"


class RunningTask(msgspec.Struct, frozen=True, array_like=True):
    """A run on the worker.

    ``load`` is the tail latency in milliseconds for a serving task, and
    the processors in use in thousandths for any other.
    """

    task_id: str
    run: int
    checkpoint: str
    percent: int
    load: float


class EndedRun(msgspec.Struct, frozen=True, array_like=True):
    """The end of a run as listed by the worker.

    ``how`` is ``done``, ``failed``, ``stopped``, ``lapsed`` (the lease
    expired), ``violations`` (another member of the gang ended) or ``alone``
    (the other members were late).
    """

    number: int
    task_id: str
    run: int
    how: str
    checkpoint: str


class RefusedRun(msgspec.Struct, frozen=True, array_like=True):
    """A run that did not start and never will."""

    task_id: str
    run: int
    reason: str


class WorkerReport(msgspec.Struct, frozen=True, array_like=True):
    """State of the worker that runs beside the agent.

    ``lease_expired`` is set when every lease sent to this instance has
    expired while it did not answer: no run that was started on it goes on.
    """

    instance: WorkerInstance
    pool: str
    capacity: Size
    labels: tuple[str, ...]
    draining: bool
    remaining_ms: int
    lease_expired: bool


class VmReport(
    msgspec.Struct, frozen=True, tag="vm", array_like=True, kw_only=True
):
    """An agent's report of its VM, which also requests the VM's lease.

    ``running`` and ``ends`` concern the instance in ``worker`` and are
    complete when ``runs_listed`` is set. ``heard_orders`` is the sequence
    number of the newest orders of ``term`` that reached the agent.
    ``former_hold_ms`` tells for how long runs may go on by leases that were
    meant for former instances of the worker.
    """

    vm: str
    address: str
    incarnation: int
    sequence: int
    term: int
    worker: WorkerReport | None
    runs_listed: bool
    running: tuple[RunningTask, ...]
    ends: tuple[EndedRun, ...]
    refused: tuple[RefusedRun, ...]
    pending: tuple[tuple[str, int], ...]
    heard_orders: int = 0
    former_hold_ms: int = 0


class StartOrder(msgspec.Struct, frozen=True, array_like=True):
    """A claimed run to start."""

    task_id: str
    run: int
    payload: str
    checkpoint: str
    ticket: str = ""


class TaskTraits(msgspec.Struct, frozen=True, array_like=True):
    """Properties of a task that the agent needs to control its pace."""

    task_id: str
    image: str
    millicores: int
    target_ms: int
    best_effort: bool


class LeaderOrders(
    msgspec.Struct, frozen=True, tag="lo", array_like=True, kw_only=True
):
    """The leader's orders for a VM, with the VM's lease.

    ``answers`` is the number of the report that ``lease_ms`` answers; the
    agent counts the lease from the time it sent that report. ``awaited``
    lists all runs whose start the leader still waits for; any other start
    that was ordered has been abandoned since.
    """

    vm: str
    term: int
    leader: str
    address: str
    sequence: int
    answers: int
    agent_incarnation: int
    lease_ms: int
    instance: WorkerInstance | None
    acked_end_number: int
    starts: tuple[StartOrder, ...]
    awaited: tuple[tuple[str, int], ...]
    stops: tuple[tuple[str, int], ...]
    traits: tuple[TaskTraits, ...]
    pairs: tuple[PairEstimate, ...]


class RelayResult(enum.StrEnum):
    """Result of an append that a peer was asked to make."""

    APPENDED = "appended"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class RelayRequest(msgspec.Struct, frozen=True, tag="rq", array_like=True):
    """A caller's record that the sender can't append itself.

    The answer goes to ``address`` and repeats ``number``.
    """

    address: str
    number: int
    key: str
    value: bytes


class RelayAnswer(msgspec.Struct, frozen=True, tag="ra", array_like=True):
    """Result of relaying a record."""

    number: int
    result: RelayResult


class LookupResult(enum.StrEnum):
    """What an entry can tell of a job."""

    KNOWN = "known"
    ABSENT = "absent"
    UNREADABLE = "unreadable"


class JobLookup(msgspec.Struct, frozen=True, tag="jl", array_like=True):
    """A question for a job that the sender can't look up in the store.

    The answer goes to ``address`` and repeats ``number``. ``route`` names
    the queue at ``queue_address``, which earlier builds don't send.
    """

    address: str
    number: int
    route: str
    job_id: str
    queue_address: QueueAddress | None = None


class JobLookupAnswer(msgspec.Struct, frozen=True, tag="ja", array_like=True):
    """The state of a job; empty unless the job is known."""

    number: int
    result: LookupResult
    state: str = ""


CellMessage = (
    VmReport
    | LeaderOrders
    | RelayRequest
    | RelayAnswer
    | CrashReport
    | JobLookup
    | JobLookupAnswer
)
