"""A stand-in for a worker of the users' platform."""

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

CHECK_IN_EVERY_S = 0.3
TICK_S = 0.01


class PlatformWorker:
    """Runs tasks for a fixed time under a lease on its own clock.

    Parameters
    ----------
    worker_id, service : str
        Who it is and whose tasks it runs.
    address, agent_address : str
        Where it takes calls, and where it checks in.
    run_s : float
        How long a task runs.
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
        self._born_ms = time.time_ns() // 1_000_000
        self._began_s = time.monotonic()
        self._lease_ms = 0
        self._fence = 0
        self._sequence = 0
        self._number = 0
        self._running: dict[str, tuple[int, float]] = {}
        self._barred: dict[str, int] = {}
        self._ends: list[list[Any]] = []
        self._server = HTTPServer(self._on_request)
        self._client = AsyncHTTPClient(force_instance=True)
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Take calls and check in."""
        host, _, port = self._address.rpartition(":")
        self._server.listen(int(port), host)
        for job in (self._check_in(), self._tick()):
            self._tasks.append(asyncio.ensure_future(job))

    def stop(self) -> None:
        """End at once."""
        for task in self._tasks:
            task.cancel()
        self._server.stop()
        self._client.close()

    @property
    def _clock_ms(self) -> int:
        return int((time.monotonic() - self._began_s) * 1000)

    async def _check_in(self) -> None:
        while True:
            self._sequence += 1
            body = {
                "Service": self._service,
                "Address": self._address,
                "Zone": "zone",
                "Version": "v1",
                "Slots": 8,
                "State": "draining" if self.draining else "ready",
                "ColdRemainingMs": 0,
                "Capacity": {"Cpu": 8000, "MemMb": 16384, "Gpu": 0},
                "Labels": ["a", "r1"],
                "ClockMs": self._clock_ms,
                "Seq": self._sequence,
                "RemainingMs": 2500 if self.draining else 0,
                "born": self._born_ms,
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
                # The agent is being started; the next check-in finds it.
                await asyncio.sleep(TICK_S)
            await asyncio.sleep(CHECK_IN_EVERY_S)

    async def _tick(self) -> None:
        while True:
            now_s = time.monotonic()
            lapsed = self._clock_ms > self._lease_ms
            for task, (_, end_s) in list(self._running.items()):
                if lapsed:
                    self._end(task, "lapsed")
                elif now_s >= end_s:
                    self._end(task, "done")
            await asyncio.sleep(TICK_S)

    def _end(self, task: str, how: str) -> None:
        run, _ = self._running.pop(task)
        self._barred[task] = run
        self._number += 1
        self._ends.append([self._number, task, run, how, ""])

    def _on_request(self, request: HTTPServerRequest) -> None:
        asyncio.ensure_future(self._serve(request))

    async def _serve(self, request: HTTPServerRequest) -> None:
        body = msgspec.json.decode(request.body or b"{}")
        call = request.path.rpartition("/")[2]
        expected = request.headers.get("Yuccapoint-Expect-Instance")
        if expected not in (None, self.worker_id):
            self._answer(request, 421, {})
            return
        if body.get("FencingToken", 0) < self._fence:
            self._answer(request, 409, {"Reason": "fence"})
            return
        self._fence = body.get("FencingToken", 0)
        self._lease_ms = max(self._lease_ms, body.get("DeadlineMs", 0))
        if call == "run-start":
            self._answer(request, *self._start(body))
            return
        if call == "run-stop":
            task, run = body["Task"], body["Run"]
            if task in self._running and self._running[task][0] <= run:
                self._end(task, "stopped")
            self._barred[task] = max(run, self._barred.get(task, 0))
            self._answer(request, 200, {})
            return
        if call == "hold":
            await self._wait_for_end(body)
            self._ends = [e for e in self._ends if e[0] > body["LastSeen"]]
            running = [
                [task, run, "", 50, 0]
                for task, (run, _) in self._running.items()
            ]
            lists = {"Running": running, "Finished": self._ends}
            self._answer(request, 200, lists)
            return
        self._answer(request, 200, {})

    async def _wait_for_end(self, body: dict[str, Any]) -> None:
        until_s = time.monotonic() + body.get("WaitMs", 0) / 1000
        while time.monotonic() < until_s:
            if any(end[0] > body["LastSeen"] for end in self._ends):
                return
            await asyncio.sleep(TICK_S)

    def _start(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        task, run = body["Task"], body["Run"]
        if body["DeadlineMs"] <= self._clock_ms:
            return 409, {"Reason": "late"}
        if task in self._running and self._running[task][0] == run:
            return 200, {}
        if run <= self._barred.get(task, 0):
            return 409, {"Reason": "old"}
        self.started.append((task, run))
        self._running[task] = (run, time.monotonic() + self._run_s)
        return 200, {}

    def _answer(
        self, request: HTTPServerRequest, status: int, body: dict[str, Any]
    ) -> None:
        body = {"ClockMs": self._clock_ms, "born": self._born_ms, **body}
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
