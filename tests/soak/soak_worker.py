"""A worker that reports task starts and ends to an oracle."""

from __future__ import annotations

import asyncio
import time
from typing import Any
from typing import TYPE_CHECKING

from yuccapoint_standins.platform_worker import PlatformWorker

if TYPE_CHECKING:
    from tornado.httputil import HTTPServerRequest

    from soak.oracle import Oracle

DRAIN_S = 3.0


class SoakWorker(PlatformWorker):
    """A worker that can crash, drain and delay orders.

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
        self.late_s = 0.0

    def start(self) -> None:
        super().start()
        # Check-ins announce the proxy's address.
        self._address = self._app_address

    def crash(self) -> None:
        """Drop all state; calls are cut off until ``restart``."""
        self.crashed = True
        self._oracle.on_crash(self, list(self._running_tasks))
        self._running_tasks.clear()
        self._highest_closed_runs.clear()
        self._ended_tasks.clear()

    def restart(self) -> None:
        """Start with empty state under the same worker id."""
        # Where two crashes overlap, the worker may not have crashed again.
        self.crash()
        self.crashed = False
        self.draining = False
        self._started_at_ms = max(
            self._started_at_ms + 1, time.time_ns() // 1_000_000
        )
        self._clock_start_s = time.monotonic()
        self._lease_until_ms = self._fencing_token = (
            self._check_in_sequence
        ) = self._last_end_number = 0

    async def _serve(self, request: HTTPServerRequest) -> None:
        if self.crashed:
            self._cut(request)
            return
        born_ms = self._started_at_ms
        if self.late_s and request.path.endswith(("run-start", "run-stop")):
            # Execute the order late and send no response.
            await asyncio.sleep(self.late_s)
            if not self.crashed and born_ms == self._started_at_ms:
                await super()._serve(request)
            self._cut(request)
            return
        await super()._serve(request)

    def _cut(self, request: HTTPServerRequest) -> None:
        connection: Any = request.connection
        if connection is not None and not connection.stream.closed():
            connection.stream.close()

    def _start(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        started_before = len(self.started)
        answer = super()._start(body)
        if len(self.started) > started_before:
            self._oracle.on_start(body, self)
        return answer

    def _end_task(self, task: str, how: str) -> None:
        super()._end_task(task, how)
        number, _, run, *_ = self._ended_tasks[-1]
        self._oracle.on_end(task, self, how, (number, run))

    async def _wait_for_end(self, body: dict[str, Any]) -> None:
        self._oracle.on_acknowledged(self, body["LastSeen"])
        await super()._wait_for_end(body)
