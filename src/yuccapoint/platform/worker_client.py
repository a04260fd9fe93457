"""Client of the worker on the agent's VM."""

from __future__ import annotations

from typing import Annotated
from typing import Any
from typing import TYPE_CHECKING

import msgspec

from yuccapoint.cell.cell_messages import EndedRun
from yuccapoint.cell.cell_messages import RunningTask
from yuccapoint.cell.worker_events import CallAnswer
from yuccapoint.cell.worker_events import CallResult
from yuccapoint.cell.worker_events import PaceCall
from yuccapoint.cell.worker_events import StartCall
from yuccapoint.cell.worker_events import StopCall
from yuccapoint.cell.worker_events import WorkerStatus
from yuccapoint.cell.worker_fence import FENCE_BITS
from yuccapoint.connection.http_client import HttpClient
from yuccapoint.decoding import decode_json
from yuccapoint.exceptions import DecodingError
from yuccapoint.exceptions import FencedError
from yuccapoint.exceptions import UnreachableError
from yuccapoint.platform.exceptions import MalformedMessageError

if TYPE_CHECKING:
    from yuccapoint.cell.occurrence_state import WorkerInstance
    from yuccapoint.cell.worker_events import StatusRequest
    from yuccapoint.cell.worker_events import WorkerCall
    from yuccapoint.connection.http_response import HttpResponse

# The worker is on the same VM and usually responds in about a millisecond; a
# busy one may take longer.
CALL_TIMEOUT_S = 0.6
# Leaves room for later sums within the 64 bits of a message.
MAX_NUMBER = 2**62
_Number = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
INSTANCE_HEADER = "Yuccapoint-Expect-Instance"
STATUS_OK = 200
STATUS_CONFLICT = 409
STATUS_OTHER_INSTANCE = 421
STATUSES_UNHEALTHY = (429, 503)
REASON_FENCE = "fence"


class _CallResponse(msgspec.Struct):
    clock_ms: _Number | None = msgspec.field(name="ClockMs", default=None)
    reason: str = msgspec.field(name="Reason", default="")
    born_ms: _Number = msgspec.field(name="born", default=0)


class _HoldResponse(msgspec.Struct):
    clock_ms: _Number = msgspec.field(name="ClockMs")
    born_ms: _Number = msgspec.field(name="born", default=0)
    # Each row: task, run, checkpoint, percent, load.
    running: list[list[Any]] = msgspec.field(
        name="Running", default_factory=list
    )
    # Each row: number, task, run, outcome, checkpoint.
    finished: list[list[Any]] = msgspec.field(
        name="Finished", default_factory=list
    )


class WorkerClient:
    """Calls one worker.

    Parameters
    ----------
    address : str
        IP number and port of the worker.
    """

    def __init__(self, address: str) -> None:
        self._client = HttpClient(address)

    async def call(
        self, call: WorkerCall, instance: WorkerInstance
    ) -> CallAnswer:
        """Start, stop or throttle a run on an instance of the worker."""
        path, body = _encode_call(call)
        body["FencingToken"] = fencing_token(call.term, call.fence)
        try:
            response = await self._client.call(
                "POST",
                path,
                msgspec.json.encode(body),
                timeout_s=CALL_TIMEOUT_S,
                headers=_headers(instance.worker_id),
            )
        except UnreachableError as error:
            return CallAnswer(CallResult.UNANSWERED, str(error))
        if response.status == STATUS_OK:
            return _confirmation(response)
        if response.status in STATUSES_UNHEALTHY:
            return CallAnswer(CallResult.UNHEALTHY)
        if response.status == STATUS_OTHER_INSTANCE:
            return CallAnswer(CallResult.OTHER_INSTANCE)
        if response.status == STATUS_CONFLICT:
            return _refusal(response)
        return CallAnswer(CallResult.REFUSED, f"status {response.status}")

    async def fetch_status(
        self, request: StatusRequest, instance: WorkerInstance
    ) -> WorkerStatus:
        """Renew the worker's lease and fetch its running and ended tasks.

        This is a long poll on ``/yuccapoint/hold``. A lease deadline in the
        request extends the worker's hold.

        Raises
        ------
        UnreachableError
            The worker did not respond.
        FencedError
            The worker has seen a higher token.
        MalformedMessageError
            The worker responded with an error status or a malformed body.
        """
        body: dict[str, int] = {
            "FencingToken": fencing_token(request.term, request.fence),
            "LastSeen": request.last_seen,
            "WaitMs": request.wait_ms,
        }
        if request.lease_until_clock_ms is not None:
            body["DeadlineMs"] = request.lease_until_clock_ms
        response = await self._client.call(
            "POST",
            "/yuccapoint/hold",
            msgspec.json.encode(body),
            timeout_s=CALL_TIMEOUT_S + request.wait_ms / 1000,
            wait_s=request.wait_ms / 1000,
            headers=_headers(instance.worker_id),
        )
        if response.status == STATUS_CONFLICT:
            answer = _refusal(response)
            if answer.reason == REASON_FENCE:
                raise FencedError("worker hold is fenced")
        if response.status != STATUS_OK:
            text = response.body[:200].decode("utf-8", "replace")
            raise MalformedMessageError(
                f"worker hold failed with status {response.status}: {text}"
            )
        status = _decode(response, _HoldResponse)
        try:
            return WorkerStatus(
                clock_ms=status.clock_ms,
                born_ms=status.born_ms,
                running=tuple(_decode_running(row) for row in status.running),
                ends=tuple(_decode_end(row) for row in status.finished),
            )
        except (OverflowError, ValueError) as error:
            raise MalformedMessageError(
                f"worker status is malformed: {error!r}"
            ) from None

    async def fetch_born_ms(
        self, worker_id: str, term: int, fence: int
    ) -> int | None:
        """Return the start time of the worker's present instance.

        The call renews no lease and acknowledges nothing.

        Parameters
        ----------
        worker_id : str
            Id of the worker.
        term, fence : int
            Term of the leader and number of the instance that is followed; a
            worker that has seen a higher token doesn't tell its start time.

        Returns
        -------
        int or None
            Start time in Unix milliseconds; 0 if the worker refused the
            token, None if another one answered.

        Raises
        ------
        UnreachableError
            The worker did not respond.
        MalformedMessageError
            The response body is malformed.
        """
        body = {"FencingToken": fencing_token(term, fence), "LastSeen": 0}
        response = await self._client.call(
            "POST",
            "/yuccapoint/hold",
            msgspec.json.encode(body),
            timeout_s=CALL_TIMEOUT_S,
            headers=_headers(worker_id),
        )
        if response.status == STATUS_OK:
            return _decode(response, _HoldResponse).born_ms or None
        if response.status != STATUS_CONFLICT:
            return None
        # Refused for its token, which comes after the check of the id.
        return int(_decode(response, _CallResponse).born_ms)

    def close(self) -> None:
        """Close the idle connections."""
        self._client.close()


def fencing_token(term: int, fence: int) -> int:
    """Return the token of calls to an instance of the worker in a term."""
    return (term << FENCE_BITS) + fence


def _encode_call(call: WorkerCall) -> tuple[str, dict[str, Any]]:
    body: dict[str, Any] = {}
    if isinstance(call, StartCall):
        order = call.order
        body.update(
            Task=order.task_id,
            Run=order.run,
            Spec=order.payload,
            DeadlineMs=call.lease_until_clock_ms,
        )
        if order.checkpoint:
            body["LastCheckpoint"] = order.checkpoint
        if order.ticket:
            body["Ticket"] = order.ticket
        return "/yuccapoint/run-start", body
    body.update(Task=call.task_id, Run=call.run)
    if isinstance(call, StopCall):
        return "/yuccapoint/run-stop", body
    assert isinstance(call, PaceCall)
    body["Percent"] = call.percent
    return "/yuccapoint/pace", body


def _refusal(response: HttpResponse) -> CallAnswer:
    try:
        refusal = _decode(response, _CallResponse)
    except MalformedMessageError as error:
        # Without the reason it is not known whether a run goes on.
        return CallAnswer(CallResult.UNANSWERED, str(error))
    return CallAnswer(CallResult.REFUSED, refusal.reason, refusal.clock_ms)


def _confirmation(response: HttpResponse) -> CallAnswer:
    try:
        clock_ms = _decode(response, _CallResponse).clock_ms
    except MalformedMessageError as error:
        # The status says that the call was executed.
        return CallAnswer(CallResult.DONE, str(error))
    return CallAnswer(CallResult.DONE, clock_ms=clock_ms)


def _headers(worker_id: str) -> dict[str, str]:
    return {"Content-Type": "application/json", INSTANCE_HEADER: worker_id}


def _decode_running(row: list[Any]) -> RunningTask:
    task_id, run, checkpoint, percent = row[:4]
    load = row[4] if len(row) > 4 else 0.0
    if isinstance(percent, float):
        percent = int(percent)
    fields = (task_id, run, checkpoint, percent, load)
    task = msgspec.convert(fields, RunningTask)
    _check_range(task.run, task.percent, task.load)
    return task


def _decode_end(row: list[Any]) -> EndedRun:
    end = msgspec.convert(row[:5], EndedRun)
    _check_range(end.number, end.run)
    return end


def _check_range(*numbers: float) -> None:
    for number in numbers:
        if not 0 <= number <= MAX_NUMBER:
            raise ValueError(f"{number!r:.80} is not from 0 to {MAX_NUMBER}")


def _decode(response: HttpResponse, kind: type[Any]) -> Any:
    try:
        return decode_json(response.body, kind)
    except DecodingError as error:
        raise MalformedMessageError(
            f"worker response is invalid: {error}"
        ) from None
