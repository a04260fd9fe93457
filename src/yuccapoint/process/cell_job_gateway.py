"""Submission, cancellation and state of callers' jobs in a cell."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from yuccapoint.cell import cell_records
from yuccapoint.cell.cell_messages import RelayResult
from yuccapoint.cell.cell_records import Cancellation
from yuccapoint.cell.job_gateway import GatewayResult
from yuccapoint.connection.cell_store import StoreRefusedError
from yuccapoint.exceptions import YuccapointError
from yuccapoint.process.steady_clock import wall_ms

if TYPE_CHECKING:
    from yuccapoint.cell.cell_view import CellView
    from yuccapoint.cell.submission import Submission
    from yuccapoint.process.append_relay import AppendRelay
    from yuccapoint.process.cell_tail import CellTail
    from yuccapoint.process.group_appender import GroupAppender
    from yuccapoint.process.job_lookups import JobLookups
    from yuccapoint.process.metrics import Metrics
    from yuccapoint.process.process_logger import ProcessLogger
    from yuccapoint.version.queue_table import QueueRoute
    from yuccapoint.version.queue_table import QueueTable

# Pause before an append is retried, in seconds, doubled up to the maximum;
# the partition needs 2 ms per append, so throttling ends soon.
APPEND_RETRY_S = 0.05
MAX_APPEND_RETRY_S = 0.4
# A record goes the second way too after this time, in seconds: the first may
# be a silent connection.
SECOND_WAY_AFTER_S = 0.6
# Refused appends after which the caller is refused.
MAX_REFUSED_APPENDS = 3
# Usual time of an append in seconds; with less time left none is started.
MIN_APPEND_TIME_S = 0.05
# An append without a result for this time, in seconds, shows that the store
# is away if it can't be read either.
STALLED_AFTER_S = 1.0
# While the store is away, one record is tried in each of these intervals, in
# seconds, and all others are refused at once.
PROBE_INTERVAL_S = 0.5
# Limit of the stored cancellations of unknown jobs, which each entry loads.
MAX_EARLY_CANCELLATIONS = 4_000
# Limit of the records that are remembered as possibly appended.
MAX_UNKNOWN_KEYS = 10_000
# Retry-After of a refused caller in seconds; the store is retried by then.
RETRY_AFTER_S = 1


class CellJobGateway:
    """Implements ``JobGateway`` on the records of a cell.

    Parameters
    ----------
    view : CellView
        Latest known records of the cell.
    tail : CellTail
        Keeps the view up to date.
    appender : GroupAppender
        Appends accepted jobs to the store.
    relay : AppendRelay
        Path to the store through peers when the store refuses this entry.
    lookups : JobLookups
        Finds the states of jobs.
    logger : ProcessLogger
        Receives the log lines.
    metrics : Metrics
        Metrics of the process.
    """

    def __init__(
        self,
        view: CellView,
        tail: CellTail,
        appender: GroupAppender,
        relay: AppendRelay,
        lookups: JobLookups,
        logger: ProcessLogger,
        metrics: Metrics,
    ) -> None:
        self.retry_after_s = RETRY_AFTER_S
        self.stopping = False
        self._last_append_failed = False
        self._waiting_since_s: dict[str, float] = {}
        self._next_probe_at_s = 0.0
        # An ordered set: the oldest key is forgotten first.
        self._unknown_keys: dict[str, None] = {}
        self._view = view
        self._tail = tail
        self._appender = appender
        self._relay = relay
        self._lookups = lookups
        self._logger = logger
        self._metrics = metrics

    @property
    def table(self) -> QueueTable | None:
        """The current routes; None before the first were read."""
        return self._view.queues.table

    @property
    def ready(self) -> bool:
        """Whether this entry accepts callers."""
        return (
            self.table is not None
            and self._tail.up_to_date
            and not self.stopping
        )

    @property
    def up_to_date(self) -> bool:
        """Whether a job missing from the view does not exist."""
        return self._tail.up_to_date

    def install(self, table: QueueTable) -> None:
        """Activate a table of routes if its version is newer."""
        if not self._view.queues.install(table):
            return
        self._logger.log("config", "routes activated", version=table.version)

    async def submit(
        self, submission: Submission, deadline_s: float
    ) -> GatewayResult:
        """Accept a job after it is stored."""
        job_id = submission.job_id
        known = self._view.find(job_id)
        if known is not None:
            same_queue = self._view.queues.holds(
                known.submission, submission.address, submission.queue.route
            )
            verdict = (
                GatewayResult.ACCEPTED
                if same_queue
                else GatewayResult.ID_IN_USE
            )
            self._log_outcome(
                "accepted before",
                job_id,
                verdict,
                route=submission.queue.route,
                stored_route=known.submission.queue.route,
            )
            return verdict
        started_s = time.monotonic()
        key = cell_records.SUBMISSION + job_id
        value = cell_records.encode(submission)
        verdict = await self._append(key, value, deadline_s)
        self._metrics.observe_latency(time.monotonic() - started_s)
        self._log_outcome(
            "submitted", job_id, verdict, route=submission.queue.route
        )
        return verdict

    async def cancel(
        self, route: QueueRoute, job_id: str, deadline_s: float
    ) -> GatewayResult:
        """Cancel a job; accepted after the cancellation is stored.

        Returns
        -------
        GatewayResult
            ``UNKNOWN_JOB`` if there is no such job and none whose append is
            on its way will run.
        """
        job = self._lookups.find(route, job_id)
        if job is not None and job.cancelled:
            return GatewayResult.ACCEPTED
        if job is None:
            try:
                state = await self._lookups.find_state(
                    route, job_id, deadline_s
                )
            except YuccapointError:
                return GatewayResult.REFUSED
            if state is None:
                return await self._cancel_unknown(route, job_id, deadline_s)
        key = cell_records.CANCELLATION + job_id
        value = cell_records.encode(Cancellation(job_id, wall_ms()))
        verdict = await self._append(key, value, deadline_s)
        self._log_outcome(
            "cancelled", job_id, verdict, route=route.rules.route
        )
        return verdict

    async def _cancel_unknown(
        self, route: QueueRoute, job_id: str, deadline_s: float
    ) -> GatewayResult:
        """Store a cancellation for a job that no entry can find.

        An append of the job without an answer, here or at another entry, may
        be executed after any lookup.
        """
        verdict = await self._append_early(route, job_id, deadline_s)
        if verdict is GatewayResult.ACCEPTED:
            verdict = await self._recheck_unknown(route, job_id, deadline_s)
        self._log_outcome(
            "cancelled",
            job_id,
            verdict,
            route=route.rules.route,
            why="no such job before; an append of it may follow",
        )
        return verdict

    async def _append_early(
        self, route: QueueRoute, job_id: str, deadline_s: float
    ) -> GatewayResult:
        early = self._view.early_cancellations
        key = cell_records.early_cancellation_key(job_id, route.address)
        if key not in early and len(early) >= MAX_EARLY_CANCELLATIONS:
            self._logger.log(
                "job",
                "too many cancellations of unknown jobs",
                job=job_id,
                stored=len(early),
            )
            return GatewayResult.REFUSED
        record = Cancellation(
            job_id, wall_ms(), route.address, route.rules.route
        )
        return await self._append(key, cell_records.encode(record), deadline_s)

    async def _recheck_unknown(
        self, route: QueueRoute, job_id: str, deadline_s: float
    ) -> GatewayResult:
        """Return the answer to a caller whose cancellation is stored."""
        try:
            state = await self._lookups.find_state(route, job_id, deadline_s)
        except YuccapointError as error:
            # The job is cancelled whether or not it exists.
            self._logger.log(
                "job",
                "state of a cancelled job is unknown",
                job=job_id,
                error=str(error),
            )
            return GatewayResult.ACCEPTED
        if state is None:
            return GatewayResult.UNKNOWN_JOB
        return GatewayResult.ACCEPTED

    async def state(
        self, route: QueueRoute, job_id: str, deadline_s: float
    ) -> str | None:
        """Return the state of a job; None if the queue has no such job.

        Raises
        ------
        YuccapointError
            Neither the store nor another entry can be asked for the job.
        """
        return await self._lookups.find_state(route, job_id, deadline_s)

    def count_pending(self, route: QueueRoute) -> int:
        """Count a queue's accepted jobs without a started task."""
        return self._view.count_pending(route.address, route.rules.route)

    def log_invalid_job(self, job_id: str, why: str) -> None:
        """Log an invalid job."""
        self._metrics.count("bad_jobs")
        self._logger.log("job", "invalid job rejected", job=job_id, why=why)

    def log_fault(self, path: str, error: str) -> None:
        """Log an internal error of a call."""
        self._metrics.count("faults")
        self._logger.log("front", "internal error", path=path, error=error)

    def log_interrupted(self, path: str) -> None:
        """Log a request that is answered unfinished at the end of a stop."""
        self._metrics.count("interrupted")
        self._logger.log("front", "interrupted by the stop", path=path)

    def log_caller_gone(self, path: str, status: int) -> None:
        """Log an answer whose caller had disconnected."""
        self._logger.log(
            "front", "caller disconnected", path=path, status=status
        )

    async def _append(
        self, key: str, value: bytes, deadline_s: float
    ) -> GatewayResult:
        """Append a record, or refuse it at once while the store is away."""
        if self._refuses_at_once():
            self._logger.log(
                "store", "append refused, the store is away", key=key
            )
            return self._truthful(key, GatewayResult.REFUSED)
        self._waiting_since_s[key] = time.monotonic()
        try:
            result = await self._append_until(key, value, deadline_s)
        finally:
            self._waiting_since_s.pop(key, None)
        self._last_append_failed = result is not GatewayResult.ACCEPTED
        return self._truthful(key, result)

    def _truthful(self, key: str, result: GatewayResult) -> GatewayResult:
        """Return a result that also holds for earlier copies of a record.

        A refusal says that the record never takes effect, but an earlier
        copy without an answer may still be appended.
        """
        if result is GatewayResult.ACCEPTED:
            self._unknown_keys.pop(key, None)
            return result
        if result is GatewayResult.MAY_BE_ACCEPTED:
            self._unknown_keys[key] = None
            if len(self._unknown_keys) > MAX_UNKNOWN_KEYS:
                del self._unknown_keys[next(iter(self._unknown_keys))]
        if key in self._unknown_keys:
            return GatewayResult.MAY_BE_ACCEPTED
        return result

    def _refuses_at_once(self) -> bool:
        """Return whether a record would wait for a store that is away."""
        if self._tail.up_to_date:
            return False
        now_s = time.monotonic()
        oldest_s = next(iter(self._waiting_since_s.values()), now_s)
        stalled = now_s - oldest_s > STALLED_AFTER_S
        if not stalled and not self._last_append_failed:
            return False
        if now_s < self._next_probe_at_s:
            return True
        self._next_probe_at_s = now_s + PROBE_INTERVAL_S
        return False

    async def _append_until(
        self, key: str, value: bytes, deadline_s: float
    ) -> GatewayResult:
        """Append a record that is safe to append twice."""
        refusals = 0
        unanswered = False
        retry_s = APPEND_RETRY_S
        while True:
            left_s = deadline_s - time.monotonic()
            if left_s < MIN_APPEND_TIME_S:
                break
            result = await self._append_once(key, value, left_s)
            if result is RelayResult.APPENDED:
                return GatewayResult.ACCEPTED
            if result is RelayResult.UNKNOWN:
                unanswered = True
            else:
                refusals += 1
            if refusals >= MAX_REFUSED_APPENDS and not unanswered:
                break
            await asyncio.sleep(retry_s)
            retry_s = min(retry_s * 2, MAX_APPEND_RETRY_S)
        if unanswered:
            return GatewayResult.MAY_BE_ACCEPTED
        return GatewayResult.REFUSED

    async def _append_once(
        self, key: str, value: bytes, timeout_s: float
    ) -> RelayResult:
        """Append by one way, and by the other if that fails or takes long.

        The leader appends the records of all entries with one call, which
        keeps the queue of a slow store short.
        """
        ways = [self._append_directly, self._relay.append]
        if self._appender.is_slow and self._relay.reaches_leader:
            ways.reverse()
        running: set[asyncio.Task[RelayResult]] = set()
        result = RelayResult.REFUSED
        try:
            while ways or running:
                if ways:
                    way = ways.pop(0)
                    running.add(
                        asyncio.ensure_future(way(key, value, timeout_s))
                    )
                done, running = await asyncio.wait(
                    running,
                    timeout=SECOND_WAY_AFTER_S if ways else None,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                outcomes = {task.result() for task in done}
                if RelayResult.APPENDED in outcomes:
                    return RelayResult.APPENDED
                if RelayResult.UNKNOWN in outcomes:
                    result = RelayResult.UNKNOWN
        finally:
            for task in running:
                task.cancel()
        return result

    async def _append_directly(
        self, key: str, value: bytes, timeout_s: float
    ) -> RelayResult:
        try:
            await self._appender.append(key, value, timeout_s)
        except StoreRefusedError as error:
            result = RelayResult.REFUSED
            text = str(error)
        except YuccapointError as error:
            result = RelayResult.UNKNOWN
            text = str(error)
        else:
            return RelayResult.APPENDED
        self._logger.log("store", "append failed", key=key, error=text)
        return result

    def _log_outcome(
        self, text: str, job_id: str, verdict: GatewayResult, **fields: str
    ) -> None:
        self._metrics.count("jobs", what=text, verdict=verdict.value)
        self._logger.log(
            "job", text, job=job_id, verdict=verdict.value, **fields
        )
