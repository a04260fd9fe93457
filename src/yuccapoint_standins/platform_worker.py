"""A stand-in for a worker of the platform."""

from __future__ import annotations

import asyncio
import time
from typing import Any

import msgspec
from tornado.httpclient import AsyncHTTPClient
from tornado.httpclient import HTTPError
from tornado.httpclient import HTTPRequest
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders
from tornado.httputil import HTTPServerRequest
from tornado.httputil import ResponseStartLine
from tornado.iostream import StreamClosedError

CHECK_IN_INTERVAL_S = 0.3
TICK_INTERVAL_S = 0.01
# A longer lease is shortened to this.
MAX_HOLD_MS = 6_000
CAPACITY_CPU_MILLI = 8_000


class PlatformWorker:
    """Runs tasks for a fixed time under a lease measured by its own clock.

    Parameters
    ----------
    worker_id, service : str
        Id of the worker and service whose tasks it runs.
    address, agent_address : str
        Address that serves calls, and address of the check-ins.
    run_s : float
        Run time of a task.
    """

    def __init__(
        self,
        worker_id: str,
        service: str,
        address: str,
        agent_address: str,
        run_s: float,
    ) -> None:
        self.worker_id = worker_id
        self.draining = False
        self.started: list[tuple[str, int]] = []
        self._service = service
        self._address = address
        self._agent_address = agent_address
        self._run_s = run_s
        self._begin_instance(time.time_ns() // 1_000_000)
        self._server = HTTPServer(self._on_request)
        self._client = AsyncHTTPClient(force_instance=True)
        self._tasks: list[asyncio.Task[None]] = []

    def _begin_instance(self, started_at_ms: int) -> None:
        """Begin with empty state and a clock that starts anew."""
        self._started_at_ms = started_at_ms
        self._clock_start_s = time.monotonic()
        self._lease_until_ms = 0
        self._fencing_token = 0
        self._check_in_sequence = 0
        self._last_end_number = 0
        self._running_tasks: dict[str, tuple[int, float]] = {}
        # Starts of a task are refused up to this run.
        self._highest_closed_runs: dict[str, int] = {}
        self._ended_tasks: list[list[Any]] = []

    def start(self) -> None:
        """Serve calls and check in periodically."""
        host, _, port = self._address.rpartition(":")
        self._server.listen(int(port), host)
        for loop in (self._check_in(), self._tick()):
            self._tasks.append(asyncio.ensure_future(loop))

    def stop(self) -> None:
        """Stop immediately."""
        for task in self._tasks:
            task.cancel()
        self._server.stop()
        self._client.close()

    @property
    def _clock_ms(self) -> int:
        return int((time.monotonic() - self._clock_start_s) * 1000)

    async def _check_in(self) -> None:
        while True:
            await self._send_check_in()
            await asyncio.sleep(CHECK_IN_INTERVAL_S)

    async def _send_check_in(self) -> None:
        self._check_in_sequence += 1
        body = {
            "Service": self._service,
            "Address": self._address,
            "Zone": "zone",
            "Version": "v1",
            "Slots": 8,
            "State": "draining" if self.draining else "ready",
            "ColdRemainingMs": 0,
            "Capacity": {
                "Cpu": CAPACITY_CPU_MILLI,
                "MemMb": 16384,
                "Gpu": 0,
            },
            "Labels": ["a", "r1"],
            "ClockMs": self._clock_ms,
            "Seq": self._check_in_sequence,
            "RemainingMs": 2500 if self.draining else 0,
            "born": self._started_at_ms,
        }
        url = f"http://{self._agent_address}/yuccapoint/instances/"
        request = HTTPRequest(
            url + self.worker_id,
            method="PUT",
            body=msgspec.json.encode(body),
            request_timeout=1.0,
        )
        try:
            await self._client.fetch(request, raise_error=False)
        except (OSError, HTTPError):
            # The agent is still starting; the next check-in reaches it.
            await asyncio.sleep(TICK_INTERVAL_S)

    async def _tick(self) -> None:
        while True:
            now_s = time.monotonic()
            lapsed = self._clock_ms > self._lease_until_ms
            for task, (_, end_s) in list(self._running_tasks.items()):
                if lapsed:
                    self._end_task(task, "lapsed")
                elif now_s >= end_s:
                    self._end_task(task, "done")
            await asyncio.sleep(TICK_INTERVAL_S)

    def _end_task(self, task: str, outcome: str) -> None:
        run, _ = self._running_tasks.pop(task)
        self._highest_closed_runs[task] = run
        self._last_end_number += 1
        self._ended_tasks.append(
            [self._last_end_number, task, run, outcome, ""]
        )

    def _on_request(self, request: HTTPServerRequest) -> None:
        asyncio.ensure_future(self._serve(request))

    async def _serve(self, request: HTTPServerRequest) -> None:
        body = msgspec.json.decode(request.body or b"{}")
        call = request.path.rpartition("/")[2]
        expected = request.headers.get("Yuccapoint-Expect-Instance")
        if expected not in (None, self.worker_id):
            self._respond(request, 421, {})
            return
        if body.get("FencingToken", 0) < self._fencing_token:
            self._respond(request, 409, {"Reason": "fence"})
            return
        self._fencing_token = body.get("FencingToken", 0)
        deadline_ms = min(
            body.get("DeadlineMs", 0), self._clock_ms + MAX_HOLD_MS
        )
        self._lease_until_ms = max(self._lease_until_ms, deadline_ms)
        if call == "run-start":
            self._respond(request, *self._start(body))
            return
        if call == "run-stop":
            task, run = body["Task"], body["Run"]
            if (
                task in self._running_tasks
                and self._running_tasks[task][0] <= run
            ):
                self._end_task(task, "stopped")
            self._highest_closed_runs[task] = max(
                run, self._highest_closed_runs.get(task, 0)
            )
            self._respond(request, 200, {})
            return
        if call == "hold":
            # An end that comes while the call waits is not forgotten by it.
            self._forget_ends(body["LastSeen"])
            await self._wait_for_end(body)
            running = [
                [task, run, "", self._progress_percent(task), 0]
                for task, (run, _) in self._running_tasks.items()
            ]
            lists = {
                "Running": running,
                "Finished": self._ended_tasks,
                "born": self._started_at_ms,
            }
            self._respond(request, 200, lists)
            return
        self._respond(request, 200, {})

    def _progress_percent(self, task: str) -> int:
        del task
        return 50

    def _forget_ends(self, through: int) -> None:
        self._ended_tasks = [e for e in self._ended_tasks if e[0] > through]

    async def _wait_for_end(self, body: dict[str, Any]) -> None:
        until_s = time.monotonic() + body.get("WaitMs", 0) / 1000
        while time.monotonic() < until_s:
            if any(end[0] > body["LastSeen"] for end in self._ended_tasks):
                return
            await asyncio.sleep(TICK_INTERVAL_S)

    def _start(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        task, run = body["Task"], body["Run"]
        if body["DeadlineMs"] <= self._clock_ms:
            return 409, {"Reason": "late"}
        if task in self._running_tasks and self._running_tasks[task][0] == run:
            return 200, {}
        if run <= self._highest_closed_runs.get(task, 0):
            return 409, {"Reason": "old"}
        self.started.append((task, run))
        self._running_tasks[task] = (run, time.monotonic() + self._run_s)
        return 200, {}

    def _respond(
        self, request: HTTPServerRequest, status: int, body: dict[str, Any]
    ) -> None:
        body = {"ClockMs": self._clock_ms, **body}
        data = msgspec.json.encode(body)
        start = ResponseStartLine("HTTP/1.1", status, "")
        headers = HTTPHeaders({"Content-Length": str(len(data))})
        if request.connection is None:
            return
        try:
            request.connection.write_headers(start, headers, data)
            request.connection.finish()
        except StreamClosedError:
            return
