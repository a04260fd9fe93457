"""Takes callers' jobs in and answers for their states."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from yuccapoint.cell import cell_records
from yuccapoint.cell.cell_messages import RelayResult
from yuccapoint.cell.cell_records import Cancellation
from yuccapoint.cell.job_gateway import GatewayResult
from yuccapoint.cell.occurrence_state import Outcome
from yuccapoint.connection.cell_store import StoreRefusedError
from yuccapoint.connection.cell_store import StoreResponseLostError
from yuccapoint.exceptions import YuccapointError
from yuccapoint.process.steady_clock import wall_ms

if TYPE_CHECKING:
    from yuccapoint.cell.cell_view import CellView
    from yuccapoint.cell.cell_view import JobView
    from yuccapoint.cell.submission import Submission
    from yuccapoint.connection.cell_store import CellStore
    from yuccapoint.process.append_relay import AppendRelay
    from yuccapoint.process.cell_tail import CellTail
    from yuccapoint.process.logs import Logs
    from yuccapoint.process.metrics import Metrics
    from yuccapoint.version.queue_table import QueueTable

# Pause before an append is repeated, in seconds; the partition takes 2 ms
# an append, so a refusal for its rate is over soon.
RETRY_S = 0.05
# A store that has not answered by then, in seconds, is slow or out of reach;
# the slowest seen alive took 0.4.
APPEND_TIMEOUT_S = 1.0
# Appends that the store refused in a row before a caller is refused.
MAX_REFUSALS = 3
# An append is not begun with less time left than it usually takes, seconds.
MIN_APPEND_S = 0.05
# When a refused caller should come back, in seconds: the store is asked
# again by then.
RETRY_AFTER_S = 1


class CellDesk:
    """Implements ``JobGateway`` on the records of a cell.

    Parameters
    ----------
    view : CellView
        What the store said last.
    tail : CellTail
        Keeps the view up to date.
    store : CellStore
        Where accepted jobs are kept.
    relay : AppendRelay
        The way to the store when it turns this entry away.
    logs : Logs
        Where decisions are said.
    metrics : Metrics
        Counters of the process.
    """

    def __init__(
        self,
        view: CellView,
        tail: CellTail,
        store: CellStore,
        relay: AppendRelay,
        logs: Logs,
        metrics: Metrics,
    ) -> None:
        self.table: QueueTable | None = None
        self.retry_after_s = RETRY_AFTER_S
        self.stopping = False
        self._view = view
        self._tail = tail
        self._store = store
        self._relay = relay
        self._logs = logs
        self._metrics = metrics

    @property
    def ready(self) -> bool:
        """Whether callers should come here."""
        return (
            self.table is not None
            and self._tail.up_to_date
            and not self.stopping
        )

    @property
    def up_to_date(self) -> bool:
        """Whether a job that is not known here does not exist."""
        return self._tail.up_to_date

    def install(self, table: QueueTable) -> None:
        """Put a newer version of the routes in force."""
        if self.table is not None and table.version <= self.table.version:
            return
        self.table = table
        self._logs.say("config", "in force", version=table.version)

    async def submit(
        self, submission: Submission, deadline_s: float
    ) -> GatewayResult:
        """Accept a job once it is in the store."""
        job_id = submission.job_id
        if self._view.find(job_id) is not None:
            self._say("accepted before", job_id, GatewayResult.ACCEPTED)
            return GatewayResult.ACCEPTED
        began_s = time.monotonic()
        key = cell_records.SUBMISSION + job_id
        value = cell_records.encode(submission)
        verdict = await self._append(key, value, deadline_s)
        self._metrics.note_latency(time.monotonic() - began_s)
        self._say("submitted", job_id, verdict, route=submission.queue.route)
        return verdict

    async def cancel(
        self, route: str, job_id: str, deadline_s: float
    ) -> GatewayResult:
        """Cancel a job once that is in the store."""
        try:
            job = await self._find_for_sure(route, job_id)
        except YuccapointError:
            return GatewayResult.REFUSED
        if job is None:
            self._say("cancelled", job_id, GatewayResult.UNKNOWN_JOB)
            return GatewayResult.UNKNOWN_JOB
        if job.cancelled:
            return GatewayResult.ACCEPTED
        key = cell_records.CANCELLATION + job_id
        value = cell_records.encode(Cancellation(job_id, wall_ms()))
        verdict = await self._append(key, value, deadline_s)
        self._say("cancelled", job_id, verdict, route=route)
        return verdict

    async def state(self, route: str, job_id: str) -> str | None:
        """Give the state of a job; None when there is no such job.

        Raises
        ------
        YuccapointError
            The job is not known here and the store can't be asked.
        """
        job = await self._find_for_sure(route, job_id)
        if job is None:
            return None
        if job.outcome is not Outcome.OPEN:
            return job.outcome.value
        return "running" if job.has_started else "pending"

    def count_pending(self, route: str) -> int:
        """Count accepted jobs of which no task has started."""
        return self._view.count_pending(route)

    def log_invalid_job(self, job_id: str, why: str) -> None:
        """Log a job that can't be read."""
        self._metrics.count("bad_jobs")
        self._logs.say("job", "can't be read", job=job_id, why=why)

    def log_fault(self, path: str, error: str) -> None:
        """Log a fault of this process."""
        self._metrics.count("faults")
        self._logs.say("front", "failed", path=path, error=error)

    def log_caller_gone(self, path: str, status: int) -> None:
        """Log an answer that its caller no longer waited for."""
        self._logs.say("front", "caller gone", path=path, status=status)

    async def _find_for_sure(self, route: str, job_id: str) -> JobView | None:
        job = self._find(route, job_id)
        if job is None:
            try:
                # Another entry may have accepted it a moment ago.
                await self._tail.catch_up()
            except YuccapointError as error:
                self._logs.say(
                    "job", "can't look", job=job_id, error=str(error)
                )
                raise
            job = self._find(route, job_id)
        return job

    def _find(self, route: str, job_id: str) -> JobView | None:
        job = self._view.find(job_id)
        if job is None or job.submission.queue.route != route:
            return None
        return job

    async def _append(
        self, key: str, value: bytes, deadline_s: float
    ) -> GatewayResult:
        """Append a record that may be repeated without harm."""
        refusals = 0
        unanswered = False
        relayed = False
        while True:
            left_s = deadline_s - time.monotonic()
            if left_s < MIN_APPEND_S:
                break
            try:
                await self._store.append(
                    [(key, value)], timeout_s=min(left_s, APPEND_TIMEOUT_S)
                )
            except StoreRefusedError as error:
                refusals += 1
                last_error = str(error)
            except StoreResponseLostError as error:
                unanswered = True
                last_error = str(error)
            else:
                return GatewayResult.ACCEPTED
            self._logs.say("store", "append failed", key=key, error=last_error)
            if not relayed:
                relayed = True
                left_s = deadline_s - time.monotonic()
                result = await self._relay.append(key, value, left_s)
                if result is RelayResult.APPENDED:
                    return GatewayResult.ACCEPTED
                unanswered = unanswered or result is RelayResult.UNKNOWN
            if refusals >= MAX_REFUSALS and not unanswered:
                break
            await asyncio.sleep(RETRY_S)
        if unanswered:
            return GatewayResult.MAY_BE_ACCEPTED
        return GatewayResult.REFUSED

    def _say(
        self, text: str, job_id: str, verdict: GatewayResult, **fields: str
    ) -> None:
        self._metrics.count("jobs", what=text, verdict=verdict.value)
        self._logs.say(
            "job", text, job=job_id, verdict=verdict.value, **fields
        )
