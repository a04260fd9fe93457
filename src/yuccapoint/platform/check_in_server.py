"""HTTP server that receives the check-ins of the worker on the agent's VM."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

import msgspec
from tornado.httpserver import HTTPServer

from yuccapoint.cell.occurrence_state import WorkerInstance
from yuccapoint.cell.worker_events import CheckIn
from yuccapoint.decoding import decode_json
from yuccapoint.exceptions import DecodingError
from yuccapoint.job.size import Size
from yuccapoint.platform.exceptions import MalformedMessageError
from yuccapoint.platform.http_response import send_response
from yuccapoint.platform.job_body import MEBIBYTE

if TYPE_CHECKING:
    from collections.abc import Callable

    from tornado.httputil import HTTPServerRequest

CHECK_IN_PATH = "/yuccapoint/instances/"
ADDRESS_PATTERN = re.compile(r"[^:\s]+:[0-9]{1,5}\Z")
# Leaves room for memory in bytes within the 64 bits of a message.
MAX_NUMBER = 2**42


class _Capacity(msgspec.Struct, rename="pascal"):
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0


class _CheckIn(msgspec.Struct, rename="pascal", kw_only=True):
    # Name of the pool whose jobs the worker runs.
    service: str
    address: str
    state: str
    seq: int
    clock_ms: int
    capacity: _Capacity
    labels: list[str] = msgspec.field(default_factory=list)
    remaining_ms: int = 0
    # When the worker was started, in Unix milliseconds.
    born: int = msgspec.field(name="born")


class CheckInServer:
    """Receives the worker's check-ins over HTTP.

    Parameters
    ----------
    vm : str
        Name of this VM.
    on_check_in, on_leave : callable
        Called with each check-in, and with the id of a worker that
        deregisters.
    on_rejected : callable
        Called with the reason why a check-in was rejected.
    """

    def __init__(
        self,
        vm: str,
        on_check_in: Callable[[CheckIn], None],
        on_leave: Callable[[str], None],
        on_rejected: Callable[[str], None],
    ) -> None:
        self._vm = vm
        self._on_check_in = on_check_in
        self._on_leave = on_leave
        self._on_rejected = on_rejected
        self._server = HTTPServer(self._serve)

    def listen(self, address: str) -> None:
        """Listen on an address."""
        host, _, port = address.rpartition(":")
        self._server.listen(int(port), host)

    def stop(self) -> None:
        """Stop listening."""
        self._server.stop()

    def _serve(self, request: HTTPServerRequest) -> None:
        status = 404
        worker_id = request.path.removeprefix(CHECK_IN_PATH)
        if request.path.startswith(CHECK_IN_PATH) and worker_id:
            status = self._handle(request, worker_id)
        if not send_response(request, status):
            self._on_rejected(
                "worker closed the connection before the check-in response"
            )

    def _handle(self, request: HTTPServerRequest, worker_id: str) -> int:
        if request.method == "DELETE":
            self._on_leave(worker_id)
            return 200
        if request.method != "PUT":
            return 405
        try:
            check_in = decode_check_in(self._vm, worker_id, request.body)
        except MalformedMessageError as error:
            self._on_rejected(str(error))
            return 400
        self._on_check_in(check_in)
        return 200


def decode_check_in(vm: str, worker_id: str, body: bytes) -> CheckIn:
    """Decode a check-in.

    Raises
    ------
    MalformedMessageError
        The body is not valid JSON, lacks a field, has an unknown state, names
        no start time or has a value that can't be used.
    """
    try:
        wire = decode_json(body, _CheckIn)
    except DecodingError as error:
        raise MalformedMessageError(f"check-in is invalid: {error}") from None
    if wire.state not in ("ready", "draining"):
        raise MalformedMessageError(
            f"check-in has unknown state {wire.state!r}"
        )
    if wire.born <= 0:
        raise MalformedMessageError(
            f"check-in has born {wire.born}, expected Unix milliseconds"
        )
    capacity = wire.capacity
    numbers = (
        wire.born,
        wire.seq,
        wire.clock_ms,
        # Less than none is left of a drain that takes longer than announced.
        abs(wire.remaining_ms),
        capacity.cpu,
        capacity.mem_mb,
        capacity.gpu,
    )
    if min(numbers) < 0 or max(numbers) > MAX_NUMBER:
        raise MalformedMessageError(
            f"check-in has a number outside of 0 to {MAX_NUMBER}"
        )
    if not wire.service or not ADDRESS_PATTERN.match(wire.address):
        raise MalformedMessageError(
            f"check-in has service {wire.service!r} and address"
            f" {wire.address!r}, expected a name and HOST:PORT"
        )
    return CheckIn(
        instance=WorkerInstance(vm, worker_id, wire.born),
        pool=wire.service,
        address=wire.address,
        capacity=Size(capacity.cpu, capacity.mem_mb * MEBIBYTE, capacity.gpu),
        labels=tuple(wire.labels),
        draining=wire.state == "draining",
        remaining_ms=wire.remaining_ms,
        clock_ms=wire.clock_ms,
        sequence=wire.seq,
    )
