"""A worker that reports task starts and ends to an oracle."""

from __future__ import annotations

import asyncio
import math
import random
import time
from typing import Any
from typing import TYPE_CHECKING

from yuccapoint_standins.platform_worker import PlatformWorker

if TYPE_CHECKING:
    from tornado.httputil import HTTPServerRequest

    from soak.oracle import Oracle

# Time after which a call that got no response is executed, in seconds.
CALL_DELAY_S = (2.0, 12.0)
# Longest time that a stop takes to end a run, in seconds.
MAX_STOP_S = 0.9
# A run of a long-running task that fails at once ends within this time.
MAX_HOPELESS_RUN_S = 0.2


class SoakWorker(PlatformWorker):
    """A worker that can crash, drain and execute calls late.

    Parameters
    ----------
    oracle : Oracle
        Checks task starts and ends.
    app_address : str
        Address that agents call; a proxy listens there.
    """

    def __init__(
        self,
        oracle: Oracle,
        worker_id: str,
        address: str,
        app_address: str,
        agent_address: str,
        run_s: float,
    ) -> None:
        super().__init__(worker_id, "pool", address, agent_address, run_s)
        self._oracle = oracle
        self._listen_address = address
        self._app_address = app_address
        self.crashed = False
        self.sends_check_ins = True
        # Share of the calls that are executed late and get no response.
        self.late_share = 0.0
        self._sent_at_s = 0.0
        self._rng = random.Random(worker_id)
        self._open_requests: set[HTTPServerRequest] = set()
        self._late_calls: set[asyncio.Task[None]] = set()
        self._stop_rng = random.Random(worker_id)
        self._stopping: set[str] = set()
        self._run_rng = random.Random(worker_id)

    def start(self) -> None:
        super().start()
        # Check-ins announce the proxy's address.
        self._address = self._app_address

    def stop(self) -> None:
        super().stop()
        for task in self._late_calls:
            task.cancel()

    @property
    def has_lease(self) -> bool:
        """Whether the worker may run tasks now."""
        return not self.crashed and self._clock_ms <= self._lease_until_ms

    @property
    def has_late_calls(self) -> bool:
        """Whether calls have yet to be executed late."""
        return bool(self._late_calls)

    def crash(self) -> None:
        """Drop all state; calls are cut off until ``restart``."""
        self.crashed = True
        self._oracle.on_crash(self, list(self._running_tasks))
        self._running_tasks.clear()
        self._stopping.clear()
        self._highest_closed_runs.clear()
        self._ended_tasks.clear()
        for request in self._open_requests:
            self._cut(request)

    def restart(self) -> None:
        """Start with empty state under the same worker id."""
        # Where two crashes overlap, the worker may not have crashed again.
        self.crash()
        self.crashed = False
        self.draining = False
        self._begin_instance(
            max(self._started_at_ms + 1, time.time_ns() // 1_000_000)
        )

    async def _send_check_in(self) -> None:
        if self.sends_check_ins and not self.crashed:
            await super()._send_check_in()

    async def _serve(self, request: HTTPServerRequest) -> None:
        if self.crashed:
            self._cut(request)
            return
        if self._rng.random() < self.late_share:
            task = asyncio.ensure_future(
                self._execute_late(request, time.monotonic())
            )
            self._late_calls.add(task)
            task.add_done_callback(self._late_calls.discard)
            return
        self._open_requests.add(request)
        try:
            await self._execute(request, time.monotonic())
        finally:
            self._open_requests.discard(request)

    async def _execute_late(
        self, request: HTTPServerRequest, sent_at_s: float
    ) -> None:
        """Execute a call on the instance that has this id by then."""
        await asyncio.sleep(self._rng.uniform(*CALL_DELAY_S))
        self._cut(request)
        if not self.crashed:
            await self._execute(request, sent_at_s)

    async def _execute(
        self, request: HTTPServerRequest, sent_at_s: float
    ) -> None:
        if self._clock_ms > self._lease_until_ms:
            self._oracle.on_lapse(self)
        self._sent_at_s = sent_at_s
        await super()._serve(request)

    def _cut(self, request: HTTPServerRequest) -> None:
        connection: Any = request.connection
        if connection is not None and not connection.stream.closed():
            connection.stream.close()

    def _start(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        started_before = len(self.started)
        answer = super()._start(body)
        if len(self.started) > started_before:
            self._oracle.on_start(body, self, self._sent_at_s)
            self._draw_run_time(body["Task"])
        return answer

    def _draw_run_time(self, task: str) -> None:
        job = self._oracle.job_of(task)
        if job is None or job.mean_run_s is None:
            return
        run_s = self._run_rng.uniform(0.0, MAX_HOPELESS_RUN_S)
        if job.mean_run_s == math.inf:
            run_s = math.inf
        elif job.mean_run_s:
            run_s = self._run_rng.expovariate(1 / job.mean_run_s)
        run, _ = self._running_tasks[task]
        self._running_tasks[task] = (run, time.monotonic() + run_s)

    def _progress_percent(self, task: str) -> int:
        job = self._oracle.job_of(task)
        if job is not None and job.long_running:
            return 100
        return super()._progress_percent(task)

    def _end_task(self, task: str, how: str) -> None:
        if how == "stopped":
            self._begin_stop(task)
            return
        if task in self._stopping and how != "lapsed":
            how = "stopped"
        self._stopping.discard(task)
        job = self._oracle.job_of(task)
        if how == "done" and job is not None and job.long_running:
            # A long-running task never ends by itself but by a failure.
            how = "failed"
        super()._end_task(task, how)
        number, _, run, *_ = self._ended_tasks[-1]
        self._oracle.on_end(task, self, how, (number, run))

    def _begin_stop(self, task: str) -> None:
        """Let a run end as stopped after a while."""
        if task in self._stopping:
            return
        self._stopping.add(task)
        run, end_s = self._running_tasks[task]
        stopped_at_s = time.monotonic() + self._stop_rng.uniform(0, MAX_STOP_S)
        self._running_tasks[task] = (run, min(end_s, stopped_at_s))

    def _forget_ends(self, through: int) -> None:
        self._oracle.on_acknowledged(self, through)
        super()._forget_ends(through)
