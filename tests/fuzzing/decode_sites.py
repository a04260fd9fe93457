"""The places that decode bytes of others, each with a sound message."""

from __future__ import annotations

import asyncio
import json
import pathlib
import tempfile
from typing import Any
from typing import TYPE_CHECKING

import msgspec
from tornado.iostream import StreamClosedError

from yuccapoint.cell import cell_records
from yuccapoint.cell.cell_messages import CellMessage
from yuccapoint.cell.cell_messages import EndedRun
from yuccapoint.cell.cell_messages import LeaderOrders
from yuccapoint.cell.cell_messages import RunningTask
from yuccapoint.cell.cell_messages import VmReport
from yuccapoint.cell.cell_records import Leadership
from yuccapoint.cell.cell_records import Member
from yuccapoint.cell.exceptions import DamagedRecordError
from yuccapoint.cell.exceptions import InvalidJobError
from yuccapoint.cell.occurrence_state import OccurrenceState
from yuccapoint.cell.occurrence_state import Outcome
from yuccapoint.cell.occurrence_state import TaskState
from yuccapoint.cell.occurrence_state import WorkerInstance
from yuccapoint.cell.queue_rules import QueueRules
from yuccapoint.cell.worker_events import StatusRequest
from yuccapoint.cell.worker_events import StopCall
from yuccapoint.connection.cell_store import StoreResponseLostError
from yuccapoint.connection.control_channel import ControlChannel
from yuccapoint.connection.frame_stream import FrameStream
from yuccapoint.connection.frames import RequestFailed
from yuccapoint.connection.http_log import HttpLog
from yuccapoint.connection.http_response import HttpResponse
from yuccapoint.connection.http_worker import HttpWorker
from yuccapoint.connection.log_port import LogUnavailableError
from yuccapoint.connection.worker_port import WorkerError
from yuccapoint.console import table_commands
from yuccapoint.console.entry_client import EntryClient
from yuccapoint.console.exceptions import CommandError
from yuccapoint.console.saved_logs import read_log_history
from yuccapoint.exceptions import ProtocolError
from yuccapoint.exceptions import SettingsError
from yuccapoint.platform.adviser_client import AdviserClient
from yuccapoint.platform.check_in_body import decode_check_in
from yuccapoint.platform.exceptions import MalformedMessageError
from yuccapoint.platform.job_body import decode_job
from yuccapoint.platform.node_settings import load_node_settings
from yuccapoint.platform.operator_config import decode_config
from yuccapoint.platform.store_partition import StorePartition
from yuccapoint.platform.worker_client import WorkerClient
from yuccapoint.process.cell_state import CellState
from yuccapoint.process.operator_api import OperatorHandler
from yuccapoint.process.operator_messages import EditBody
from yuccapoint.process.operator_messages import TablesView
from yuccapoint.process.settings.checker import load_tables
from yuccapoint.process.snapshot_chunks import pack_chunks
from yuccapoint.process.snapshot_chunks import SnapshotAssembler
from yuccapoint.process.snapshot_image import SnapshotDamagedError

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccapoint.cell.submission import Submission

JOB_ID = "00000000000000cc"
INSTANCE = WorkerInstance("vm-0", "i-0", 1_796_383_902_006)
RULES = QueueRules(
    route="q",
    pool="pool",
    priority=0,
    max_attempts=2,
    objective_factor=1.0,
    objective_ms=1_000,
)


class DecodeSite:
    """A place that decodes bytes.

    Parameters
    ----------
    codec : str
        ``json`` or ``msgpack``.
    sample : object
        A sound message, before it is encoded.
    feed : callable
        Decodes bytes in the way of the place.
    errors : exception types
        What the place may raise; everything else is a fault.
    """

    def __init__(
        self,
        codec: str,
        sample: object,
        feed: Callable[[bytes], object],
        *errors: type[Exception],
    ) -> None:
        self.codec = codec
        self.sample = sample
        self.feed = feed
        self.errors = errors

    def encode(self, value: object) -> bytes:
        """Encode a message of this place."""
        if self.codec == "json":
            return json.dumps(value).encode()
        try:
            return msgspec.msgpack.encode(value)
        except OverflowError:
            # A number beyond 64 bits has no encoding.
            return msgspec.msgpack.encode(None)


def _await(job: Any) -> Any:
    return asyncio.get_event_loop().run_until_complete(job)


class FixedClient:
    """HTTP client whose responses all have the same body."""

    def __init__(self, status: int, body: bytes) -> None:
        self._response = HttpResponse(status, {}, body)  # type: ignore

    async def call(self, *args: Any, **options: Any) -> HttpResponse:
        del args, options
        return self._response


class FetchedBody:
    """Tornado's HTTP client with one response body."""

    def __init__(self, body: bytes) -> None:
        self.body = body

    async def fetch(self, request: Any) -> FetchedBody:
        del request
        return self


class OneMessage:
    """A stream that closes after the given bytes."""

    def __init__(self, data: bytes) -> None:
        self._data = data

    def set_nodelay(self, value: bool) -> None:
        del value

    async def read_bytes(self, count: int, *, partial: bool) -> bytes:
        del partial
        if not self._data:
            raise StreamClosedError
        data, self._data = self._data[:count], self._data[count:]
        return data


class AnsweredHandler:
    """An operator's request whose body is decoded."""

    def __init__(self, body: bytes) -> None:
        self.request = self
        self.body = body

    def respond_error(self, status: int, *args: object) -> None:
        del args
        assert status == 400, status


def _feed_job(data: bytes) -> None:
    submission = decode_job(data, JOB_ID, RULES, 1)
    cell_records.encode(submission)


def _feed_check_in(data: bytes) -> None:
    check_in = decode_check_in("vm-0", "i-0", data)
    msgspec.msgpack.encode(
        (
            check_in.instance,
            check_in.pool,
            check_in.capacity,
            check_in.labels,
            check_in.remaining_ms,
        )
    )


def _worker_client(status: int, body: bytes) -> WorkerClient:
    client = WorkerClient("127.0.0.1:1")
    client._client = FixedClient(status, body)  # type: ignore[assignment]
    return client


def _feed_worker_lists(data: bytes) -> None:
    request = StatusRequest(INSTANCE, 1, 1, 0, None, 0)
    client = _worker_client(200, data)
    status = _await(client.fetch_status(request, INSTANCE))
    # The agent sends this to the leader, which rejects other types.
    report = msgspec.msgpack.encode((status.running, status.ends))
    lists = tuple[tuple[RunningTask, ...], tuple[EndedRun, ...]]
    msgspec.msgpack.decode(report, type=lists)
    assert 0 <= status.clock_ms < 2**63, status.clock_ms


def _feed_worker_answer(data: bytes) -> None:
    for status in (200, 409):
        client = _worker_client(status, data)
        _await(client.call(StopCall("t", 1, 1), INSTANCE))


def _partition(data: bytes, status: int = 200) -> StorePartition:
    client: Any = FixedClient(status, data)
    return StorePartition(client, "cell", 0)


def _feed_store_answer(data: bytes) -> None:
    _await(_partition(data).append([("s:1", b"x")]))


def _feed_store_conflict(data: bytes) -> None:
    try:
        _await(_partition(data, 409).append([("s:1", b"x")]))
    except StoreResponseLostError:
        raise
    except MalformedMessageError:
        raise
    except Exception as error:
        name = type(error).__name__
        assert name in ("StoreFencedError", "StoreSequenceError"), name


def _feed_store_page(data: bytes) -> None:
    _await(_partition(data).read_newest())


def _feed_advice(data: bytes) -> None:
    adviser = AdviserClient("127.0.0.1:1")
    adviser._client = FixedClient(200, data)  # type: ignore[assignment]
    _await(adviser.ask("s", ["i-0"]))


def _feed_config(data: bytes) -> None:
    for prefixes in decode_config(data)._by_host.values():
        for route in prefixes.values():
            # Stored with each job of the route.
            rules = msgspec.msgpack.encode(route.rules)
            msgspec.msgpack.decode(rules, type=QueueRules)


def _with_file(
    suffix: str, read: Callable[[pathlib.Path], object]
) -> Callable[[bytes], None]:
    def feed(data: bytes) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / f"input{suffix}"
            path.write_bytes(data)
            read(path)

    return feed


def _record_feed(key: str) -> Callable[[bytes], None]:
    def feed(data: bytes) -> None:
        cell_records.decode(key, data)

    return feed


def _feed_log_record(data: bytes) -> None:
    CellState().apply(0, 1, data)


def _feed_frame(data: bytes) -> None:
    stream: Any = OneMessage(len(data).to_bytes(4, "big") + data)
    try:
        _await(FrameStream(stream).read())
    except StreamClosedError:
        return


def _feed_control_message(data: bytes) -> None:
    """Decode as the channel does, which counts malformed messages."""
    channel = ControlChannel(
        "127.0.0.1:1", lambda _: None, lambda *_: None, CellMessage
    )
    channel._handle(data)


def _feed_log_page(data: bytes) -> None:
    client = HttpLog("127.0.0.1:1", "s", 1.0)
    client._client = FetchedBody(data)  # type: ignore[assignment]
    _await(client.read(0))


def _feed_worker_inventory(data: bytes) -> None:
    client = HttpWorker("127.0.0.1:1", 1.0)
    client._client = FetchedBody(data)  # type: ignore[assignment]
    _await(client.usage())


def _feed_operator_call(data: bytes) -> None:
    handler: Any = AnsweredHandler(data)
    OperatorHandler.decode_body(handler, EditBody)


def _feed_console_response(data: bytes) -> None:
    client = EntryClient("127.0.0.1:1", "")

    async def fetch(method: str, path: str, body: bytes | None) -> bytes:
        del method, path, body
        return data

    client._fetch = fetch  # type: ignore[method-assign]
    client.call("GET", "/v1/tables", TablesView)


def _feed_console_value(data: bytes) -> None:
    table_commands._parse_value(data.decode("utf-8", "replace"))


def _feed_snapshot(data: bytes) -> None:
    """Restore a slice whose checksum is right."""
    state = CellState()
    chunks = pack_chunks("snapshot", 9, [data])
    snapshot = SnapshotAssembler().add(chunks[0])
    assert snapshot is not None
    state.install(snapshot)


def _feed_snapshot_items(data: bytes) -> None:
    """Restore items of a snapshot, within a sound slice."""
    head = msgspec.msgpack.encode(["._sequences", "dict", ""])
    _feed_snapshot(b"\x94" + head[1:] + data)


_TASK = TaskState(1, 1, 0, 0, "")
_OCCURRENCE = OccurrenceState(Outcome.OPEN, [INSTANCE], [[_TASK]], True)


def _builtins(value: object) -> Any:
    return msgspec.msgpack.decode(msgspec.msgpack.encode(value))


def _job() -> dict[str, Any]:
    step = {"Count": 4, "Cpu": 500, "MemMb": 256, "EstimateMs": 900}
    later = dict(step, DependsOn=[0], Requirements="a", TargetMs=5.5)
    return {"Spec": "text", "Steps": [step, later], "Repeats": 0}


def sample_submission() -> Submission:
    """Return an accepted job."""
    data = json.dumps(_job()).encode()
    return decode_job(data, JOB_ID, RULES, 1)


_REPORT = VmReport(
    vm="vm-0",
    address="127.0.0.1:1",
    incarnation=1,
    sequence=1,
    term=1,
    worker=None,
    runs_listed=True,
    running=(),
    ends=(),
    refused=(),
    pending=(),
    heard_orders=1,
)
_ORDERS = LeaderOrders(
    vm="vm-0",
    term=1,
    leader="e-0",
    address="",
    sequence=1,
    answers=0,
    agent_incarnation=0,
    lease_ms=0,
    instance=INSTANCE,
    acked_end_number=0,
    starts=(),
    awaited=(),
    stops=(),
    traits=(),
    pairs=(),
)
_SETTINGS = {
    "NodeName": "n",
    "Ip": "127.0.0.1",
    "Zone": "z",
    "Region": "r",
    "ListenAddrs": {"Front": "127.0.0.1:1"},
    "PortRange": [1, 2],
    "platform": {"Address": "127.0.0.1:1", "WritesPerS": 800},
    "Bounds": {"DrainMs": 2500, "GraceS": 6},
}
_CONFIG = {
    "Version": 2,
    "Routes": [
        {
            "Name": "q",
            "Host": "h",
            "PathPrefix": "/q/",
            "Service": "pool",
            "SloFactor": 2.0,
            "Advisor": {"ValidityMs": 10},
        }
    ],
    "Limits": {"MaxBodyBytes": 262144},
}
_TABLES: dict[str, list[object]] = {"routes": [], "pools": []}
_LOG_LINE = {"text": "started", "timestamp": 1.5, "job": "x"}
_BATCH = ["writer", 1, []]

SITES: dict[str, DecodeSite] = {
    "submissions": DecodeSite(
        "json", _job(), _feed_job, MalformedMessageError, InvalidJobError
    ),
    "check-ins": DecodeSite(
        "json",
        {
            "Service": "pool",
            "Address": "127.0.0.1:8080",
            "Zone": "z",
            "State": "ready",
            "Capacity": {"Cpu": 1000, "MemMb": 64, "Gpu": 0},
            "Labels": ["a", "r1"],
            "ClockMs": 482113,
            "RemainingMs": 0,
            "Seq": 4,
            "born": INSTANCE.born_ms,
        },
        _feed_check_in,
        MalformedMessageError,
    ),
    "worker lists": DecodeSite(
        "json",
        {
            "ClockMs": 482113,
            "born": INSTANCE.born_ms,
            "Running": [[f"{JOB_ID}.0.1.17", 2, "checkpoint", 41, 3.5]],
            "Finished": [[58, f"{JOB_ID}.0.1.9", 1, "done", ""]],
        },
        _feed_worker_lists,
        MalformedMessageError,
    ),
    "worker answers": DecodeSite(
        "json", {"ClockMs": 482113, "Reason": "fence"}, _feed_worker_answer
    ),
    "store answers": DecodeSite(
        "json",
        {"Offset": 4, "EndOffset": 5},
        _feed_store_answer,
        StoreResponseLostError,
    ),
    "store conflicts": DecodeSite(
        "json",
        {"Reason": "seq", "Seq": 5},
        _feed_store_conflict,
        StoreResponseLostError,
    ),
    "store pages": DecodeSite(
        "json",
        {
            "items": [{"Key": "s:1", "Value": "YQ==", "Offset": 4}],
            "HasMore": False,
            "EndOffset": 5,
        },
        _feed_store_page,
        StoreResponseLostError,
    ),
    "advice": DecodeSite(
        "json",
        {"Allowed": [["i-0", "ticket"]]},
        _feed_advice,
        MalformedMessageError,
    ),
    "config records": DecodeSite(
        "json", _CONFIG, _feed_config, MalformedMessageError
    ),
    "node settings": DecodeSite(
        "json",
        _SETTINGS,
        _with_file(".json", load_node_settings),
        SettingsError,
    ),
    "tables files": DecodeSite(
        "json",
        _TABLES,
        _with_file(".json", lambda path: load_tables(str(path))),
        SettingsError,
    ),
    "saved logs": DecodeSite(
        "json",
        _LOG_LINE,
        _with_file(".log", lambda path: read_log_history([path], "")),
    ),
    "operator calls": DecodeSite(
        "json",
        {"edit_id": "e", "expected_version": 1, "pool": None},
        _feed_operator_call,
    ),
    "entry responses": DecodeSite(
        "json",
        {"version": 1, "routes": [], "pools": []},
        _feed_console_response,
        CommandError,
    ),
    "console values": DecodeSite("json", {"a": 1}, _feed_console_value),
    "stored submissions": DecodeSite(
        "msgpack",
        _builtins(sample_submission()),
        _record_feed(f"s:{JOB_ID}"),
        DamagedRecordError,
    ),
    "stored states": DecodeSite(
        "msgpack",
        _builtins(_OCCURRENCE),
        _record_feed(f"p:{JOB_ID}.0"),
        DamagedRecordError,
    ),
    "stored leaderships": DecodeSite(
        "msgpack",
        _builtins(Leadership(1, "e-0", 5)),
        _record_feed("leader"),
        DamagedRecordError,
    ),
    "stored members": DecodeSite(
        "msgpack",
        _builtins(Member("vm-0", "127.0.0.1:1", 5)),
        _record_feed("m:vm-0"),
        DamagedRecordError,
    ),
    "log records": DecodeSite("msgpack", _BATCH, _feed_log_record),
    "log pages": DecodeSite(
        "msgpack",
        {"records": [], "next_offset": 5},
        _feed_log_page,
        LogUnavailableError,
    ),
    "frames": DecodeSite(
        "msgpack",
        _builtins(RequestFailed(1, 503, "not-run", "text", 1.0, 0, "")),
        _feed_frame,
        ProtocolError,
    ),
    "reports": DecodeSite(
        "msgpack", _builtins(_REPORT), _feed_control_message
    ),
    "orders": DecodeSite("msgpack", _builtins(_ORDERS), _feed_control_message),
    "snapshot slices": DecodeSite(
        "msgpack",
        [".next_offset", "value", "", 1],
        _feed_snapshot,
        SnapshotDamagedError,
    ),
    "snapshot items": DecodeSite(
        "msgpack", [["writer", 3]], _feed_snapshot_items, SnapshotDamagedError
    ),
    "usage samples": DecodeSite(
        "json", [], _feed_worker_inventory, WorkerError
    ),
}
