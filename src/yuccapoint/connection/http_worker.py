"""HTTP client of the worker; docs/PLATFORM.md describes its API."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar

import msgspec
from tornado.httpclient import AsyncHTTPClient
from tornado.httpclient import HTTPClientError
from tornado.httpclient import HTTPRequest

from yuccapoint.connection.worker_port import WorkerError
from yuccapoint.connection.worker_port import WorkerUnreachableError
from yuccapoint.decoding import decode_json
from yuccapoint.exceptions import DecodingError
from yuccapoint.job.size import Size
from yuccapoint.job.worker_events import Inventory
from yuccapoint.job.worker_events import UsageSample
from yuccapoint.job.worker_events import WorkerEventPage

if TYPE_CHECKING:
    from yuccapoint.job.actions import WorkerStart

ResponseT = TypeVar("ResponseT")
EVENTS_WAIT_S = 1.0
STATUS_NO_RESPONSE = 599


class StartBody(msgspec.Struct, frozen=True):
    """Body of a call that starts a task."""

    size: Size
    job_class: str
    command: str
    checkpoint: str
    lease_until_s: float


class LeaseBody(msgspec.Struct, frozen=True):
    """Body of a call that extends the lease of all tasks."""

    lease_until_s: float


class ThrottleBody(msgspec.Struct, frozen=True):
    """Body of a call that throttles a task."""

    share: float


class HttpWorker:
    """Calls one worker.

    Parameters
    ----------
    address : str
        IP number and port of the worker.
    timeout_s : float
        Timeout for a response, in seconds.
    """

    def __init__(self, address: str, timeout_s: float) -> None:
        self._url = f"http://{address}/v1"
        self._timeout_s = timeout_s
        self._client = AsyncHTTPClient(force_instance=True)

    async def inventory(self) -> Inventory:
        """Return everything that the worker holds and runs."""
        return await self._get("/tasks", Inventory)

    async def start(self, start: WorkerStart) -> None:
        """Start a task under a lease."""
        body = StartBody(
            start.job.size,
            start.job.job_class,
            start.job.command,
            start.checkpoint,
            start.lease_until_s,
        )
        path = f"/tasks/{start.job.job_id}/{start.attempt}"
        await self._call("PUT", path, msgspec.json.encode(body))

    async def renew(self, lease_until_s: float) -> None:
        """Extend the lease of all tasks."""
        body = msgspec.json.encode(LeaseBody(lease_until_s))
        await self._call("POST", "/lease", body)

    async def throttle(self, job_id: str, attempt: int, share: float) -> None:
        """Limit a task to a share of its processors."""
        body = msgspec.json.encode(ThrottleBody(share))
        await self._call("POST", f"/tasks/{job_id}/{attempt}/throttle", body)

    async def stop(self, job_id: str, attempt: int) -> None:
        """Checkpoint a task and stop it."""
        await self._call("POST", f"/tasks/{job_id}/{attempt}/stop", b"")

    async def wait_for_events(self, from_event: int) -> WorkerEventPage:
        """Wait for task-end events, from an event number on."""
        path = f"/events?from={from_event}&wait_s={EVENTS_WAIT_S}"
        return await self._get(path, WorkerEventPage)

    async def usage(self) -> list[UsageSample]:
        """Return the latest usage samples, which lag behind."""
        return await self._get("/usage", list[UsageSample])

    def close(self) -> None:
        """Close the connections."""
        self._client.close()

    async def _get(self, path: str, kind: type[ResponseT]) -> ResponseT:
        data = await self._call("GET", path, None)
        try:
            return decode_json(data, kind)
        except DecodingError as error:
            raise WorkerError(f"worker response is invalid: {error}") from None

    async def _call(self, method: str, path: str, body: bytes | None) -> bytes:
        request = HTTPRequest(
            self._url + path,
            method=method,
            body=body,
            connect_timeout=self._timeout_s,
            request_timeout=self._timeout_s + EVENTS_WAIT_S,
        )
        try:
            response = await self._client.fetch(request)
        except HTTPClientError as error:
            if error.code == STATUS_NO_RESPONSE:
                raise WorkerUnreachableError(
                    f"worker did not respond: {error}"
                ) from None
            detail = str(error)
            if error.response is not None and error.response.body:
                detail = error.response.body.decode("utf-8", "replace")
            raise WorkerError(f"worker refused the call: {detail}") from None
        except OSError as error:
            raise WorkerUnreachableError(
                f"can't connect to the worker: {error}"
            ) from None
        return response.body
