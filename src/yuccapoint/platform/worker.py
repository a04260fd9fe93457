"""Calls to the worker beside the agent."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import msgspec

from yuccapoint.cell.cell_messages import EndedRun
from yuccapoint.cell.cell_messages import RunningTask
from yuccapoint.cell.worker_events import CallResult
from yuccapoint.cell.worker_events import PaceCall
from yuccapoint.cell.worker_events import StartCall
from yuccapoint.cell.worker_events import StopCall
from yuccapoint.cell.worker_events import WorkerLook
from yuccapoint.connection.kept_client import KeptClient
from yuccapoint.exceptions import UnreachableError
from yuccapoint.platform.exceptions import DamagedMessageError

if TYPE_CHECKING:
    from yuccapoint.cell.worker_events import LookRequest
    from yuccapoint.cell.worker_events import WorkerCall
    from yuccapoint.connection.kept_client import HttpAnswer

# The worker is on the same VM and answers in about a millisecond; a busy
# one may take longer.
CALL_TIMEOUT_S = 0.6
LIFE_HEADER = "Yuccapoint-Expect-Instance"
STATUS_OK = 200
STATUS_CONFLICT = 409
STATUS_OTHER_LIFE = 421
STATUSES_UNHEALTHY = (429, 503)


class _Answer(msgspec.Struct):
    clock_ms: int = msgspec.field(name="ClockMs", default=0)
    reason: str = msgspec.field(name="Reason", default="")
    born_ms: int = msgspec.field(name="born", default=0)


class _Look(msgspec.Struct):
    clock_ms: int = msgspec.field(name="ClockMs")
    born_ms: int = msgspec.field(name="born", default=0)
    # Rows of task, run, checkpoint, percent and load.
    running: list[list[Any]] = msgspec.field(
        name="Running", default_factory=list
    )
    # Rows of number, task, run, how and checkpoint.
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
        self._client = KeptClient(address)

    async def call(
        self, call: WorkerCall, worker_id: str
    ) -> tuple[CallResult, str]:
        """Start, stop or pace a run.

        Returns
        -------
        tuple
            The result, and the worker's reason if it refused.
        """
        path, body = _translate(call)
        try:
            answer = await self._client.call(
                "POST",
                path,
                msgspec.json.encode(body),
                timeout_s=CALL_TIMEOUT_S,
                headers=_headers(worker_id),
            )
        except UnreachableError as error:
            return CallResult.UNANSWERED, str(error)
        if answer.status == STATUS_OK:
            return CallResult.DONE, ""
        if answer.status in STATUSES_UNHEALTHY:
            return CallResult.UNHEALTHY, ""
        if answer.status == STATUS_OTHER_LIFE:
            return CallResult.OTHER_LIFE, ""
        if answer.status == STATUS_CONFLICT:
            return CallResult.REFUSED, _decode(answer, _Answer).reason
        return CallResult.REFUSED, f"status {answer.status}"

    async def poll(self, request: LookRequest, worker_id: str) -> WorkerLook:
        """Renew the worker's lease and list what runs and ended there.

        Raises
        ------
        UnreachableError
            The worker did not answer.
        DamagedMessageError
            The answer can't be used.
        """
        body: dict[str, int] = {
            "FencingToken": request.term,
            "LastSeen": request.last_seen,
            "WaitMs": request.wait_ms,
        }
        if request.lease_until_clock_ms is not None:
            body["DeadlineMs"] = request.lease_until_clock_ms
        answer = await self._client.call(
            "POST",
            "/yuccapoint/hold",
            msgspec.json.encode(body),
            timeout_s=CALL_TIMEOUT_S + request.wait_ms / 1000,
            headers=_headers(worker_id),
        )
        if answer.status != STATUS_OK:
            text = answer.body[:200].decode("utf-8", "replace")
            raise DamagedMessageError(f"look: {answer.status} {text}")
        look = _decode(answer, _Look)
        try:
            return WorkerLook(
                clock_ms=look.clock_ms,
                born_ms=look.born_ms,
                running=tuple(_running(row) for row in look.running),
                ends=tuple(_end(row) for row in look.finished),
            )
        except (ValueError, TypeError, IndexError) as error:
            raise DamagedMessageError(f"look: {error!r}") from None

    def close(self) -> None:
        """Drop the connections."""
        self._client.close()


def _translate(call: WorkerCall) -> tuple[str, dict[str, Any]]:
    body: dict[str, Any] = {"FencingToken": call.term}
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


def _headers(worker_id: str) -> dict[str, str]:
    return {"Content-Type": "application/json", LIFE_HEADER: worker_id}


def _running(row: list[Any]) -> RunningTask:
    load = float(row[4]) if len(row) > 4 else 0.0
    return RunningTask(str(row[0]), int(row[1]), row[2], int(row[3]), load)


def _end(row: list[Any]) -> EndedRun:
    number, task_id, run, how, checkpoint = row[:5]
    return EndedRun(int(number), str(task_id), int(run), how, checkpoint)


def _decode(answer: HttpAnswer, kind: type[Any]) -> Any:
    try:
        return msgspec.json.decode(answer.body, type=kind)
    except msgspec.DecodeError as error:
        raise DamagedMessageError(f"the worker's answer: {error}") from None
