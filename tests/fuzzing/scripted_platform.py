"""Simulated log, workers and endpoints of the platform."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from yuccapoint.connection.endpoint_client import EndpointResponse
from yuccapoint.connection.http_worker import StartBody
from yuccapoint.connection.log_port import LogPage
from yuccapoint.connection.log_port import LogRecordsExpiredError
from yuccapoint.connection.log_port import LogResponseLostError
from yuccapoint.connection.log_port import LogUnavailableError
from yuccapoint.connection.worker_port import WorkerError
from yuccapoint.connection.worker_port import WorkerUnreachableError
from yuccapoint.job.worker_events import Inventory
from yuccapoint.job.worker_events import WorkerEventPage
from yuccapoint.process.endpoint_registry import Announcement
from yuccapoint.request.exceptions import DeadlinePassedError
from yuccapoint.request.exceptions import EndpointFailedError
from yuccapoint.request.header import Header
from yuccapoint.request.verdict import Verdict
from yuccapoint_standins.worker_model import WorkerModel
from yuccapoint_standins.worker_model import WorkerRefusedError

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from fuzzing.clock import MemberClock
    from fuzzing.clock import VirtualLoop
    from fuzzing.members import Member
    from yuccapoint.job.actions import WorkerStart
    from yuccapoint.job.size import Size
    from yuccapoint.job.worker_events import UsageSample
    from yuccapoint_standins.log_store import LogStore

CHUNK_BYTES = 50_000
POLL_S = 0.1
MAX_POLLS = 10
APPEND_DELAY_S = 12.0


class LogFaults:
    """Faults that the log injects at present."""

    def __init__(self) -> None:
        self.down = False
        self.delay_s = 0.0
        self.lost_responses = 0
        self.delayed_appends = 0


class ScriptedLog:
    """The log client of one member."""

    def __init__(self, store: LogStore, faults: LogFaults) -> None:
        self.store = store
        self.faults = faults
        self.member: Member

    def for_member(self, member: Member) -> ScriptedLog:
        log = ScriptedLog(self.store, self.faults)
        log.member = member
        return log

    async def append(self, data: bytes) -> int:
        await self._wait()
        if self.faults.delayed_appends:
            self.faults.delayed_appends -= 1
            asyncio.get_event_loop().call_later(
                APPEND_DELAY_S, self._write, data
            )
            raise LogResponseLostError("no response")
        offset = self._write(data)
        if self.faults.lost_responses:
            self.faults.lost_responses -= 1
            raise LogResponseLostError("the response was lost")
        return offset

    async def read(self, from_offset: int) -> LogPage:
        await self._wait()
        for _ in range(MAX_POLLS):
            records = self.store.read(from_offset)
            if records is None:
                raise LogRecordsExpiredError(self.store.earliest_offset)
            if records:
                break
            await asyncio.sleep(POLL_S)
            await self._wait()
        return LogPage(records, from_offset + len(records))

    def close(self) -> None:
        """Do nothing, as no connection is open."""

    def _write(self, data: bytes) -> int:
        stamp_ms = self.member.wall_ms()
        for record in msgspec.msgpack.decode(data)[2]:
            self.member.trace_record(record)
        return self.store.append(data, stamp_ms)

    async def _wait(self) -> None:
        await self.member.wait_until_resumed()
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
            await self.member.wait_until_resumed()
        if self.faults.down or not self.member.can_reach_log():
            raise LogUnavailableError("the log is down")


class WorkerHost:
    """The worker of a VM; it outlives the runs of the agent."""

    def __init__(self, vm: str, capacity: Size, clock: MemberClock) -> None:
        self.vm = vm
        self.model = WorkerModel(capacity)
        self.clock = clock
        self.alive = True
        self.lost_responses = 0
        self.starts: list[tuple[str, int]] = []

    def tick(self) -> None:
        if self.alive:
            self.model.tick(self.clock.monotonic())

    def crash(self) -> None:
        self.alive = False
        self.model.tasks.clear()


class ScriptedWorker:
    """The worker client of one run of the agent."""

    def __init__(self, host: WorkerHost, member: Member) -> None:
        self._host = host
        self._member = member

    async def inventory(self) -> Inventory:
        await self._wait()
        model = self._host.model
        return Inventory(model.capacity, model.running(), model.next_number)

    async def start(self, start: WorkerStart) -> None:
        await self._wait()
        body = StartBody(
            start.job.size,
            start.job.job_class,
            start.job.command,
            start.checkpoint,
            start.lease_until_s,
        )
        host = self._host
        try:
            host.model.start(
                start.job.job_id, start.attempt, body, host.clock.monotonic()
            )
        except WorkerRefusedError as error:
            raise WorkerError(str(error)) from None
        host.starts.append((start.job.job_id, start.attempt))
        self._member.trace(f"starts {start.job.job_id} {start.attempt}")
        if host.lost_responses:
            host.lost_responses -= 1
            raise WorkerUnreachableError("no response")

    async def renew(self, lease_until_s: float) -> None:
        await self._wait()
        self._host.model.renew(lease_until_s)

    async def throttle(self, job_id: str, attempt: int, share: float) -> None:
        await self._wait()
        try:
            self._host.model.throttle(
                job_id, attempt, share, self._host.clock.monotonic()
            )
        except WorkerRefusedError as error:
            raise WorkerError(str(error)) from None

    async def stop(self, job_id: str, attempt: int) -> None:
        await self._wait()
        try:
            self._host.model.stop(
                job_id, attempt, self._host.clock.monotonic()
            )
        except WorkerRefusedError as error:
            raise WorkerError(str(error)) from None

    async def wait_for_events(self, from_number: int) -> WorkerEventPage:
        await self._wait()
        for _ in range(MAX_POLLS):
            if self._host.model.next_number > from_number:
                break
            await asyncio.sleep(POLL_S)
            await self._wait()
        model = self._host.model
        number = max(from_number, model.next_number)
        return WorkerEventPage(number, model.events_from(from_number))

    async def usage(self) -> list[UsageSample]:
        await self._wait()
        return self._host.model.usage(self._host.clock.monotonic())

    def close(self) -> None:
        """Do nothing, as no connection is open."""

    async def _wait(self) -> None:
        await self._member.wait_until_resumed()
        if not self._host.alive or not self._member.alive:
            raise WorkerUnreachableError("the worker is unreachable")


class ScriptedEndpoint:
    """A service endpoint that records the requests it runs."""

    def __init__(self, name: str, address: str, work_s: float) -> None:
        self.name = name
        self.address = address
        self.work_s = work_s
        self.incarnation = 1
        self.leaving = False
        self.left_at_s = 0.0
        self.alive = True
        self.running = 0
        self.runs: list[tuple[str, float]] = []
        self.cut = 0

    def announcement(self, service: str) -> Announcement:
        return Announcement(
            self.name, service, self.address, self.incarnation, self.leaving
        )


class ScriptedEndpointClient:
    """The endpoint client of one run of the agent."""

    def __init__(
        self, endpoint: ScriptedEndpoint, member: Member, loop: VirtualLoop
    ) -> None:
        self._endpoint = endpoint
        self._member = member
        self._loop = loop

    async def call(
        self,
        address: str,
        method: str,
        target: str,
        headers: list[Header],
        body: bytes,
        deadline_s: float,
        on_head: Callable[[EndpointResponse], None],
        on_chunk: Callable[[bytes], Awaitable[None] | None],
    ) -> None:
        del address, method, target
        endpoint = self._endpoint
        if not endpoint.alive or not self._member.alive:
            raise EndpointFailedError("refused", Verdict.NOT_RUN)
        names = [h.value for h in headers if h.name == "X-Request-Name"]
        endpoint.runs.append((names[0], self._loop.now_s))
        self._member.served_requests.add(names[0])
        endpoint.running += 1
        left_s = deadline_s - self._member.clock.monotonic()
        try:
            await asyncio.sleep(min(endpoint.work_s, left_s))
        finally:
            endpoint.running -= 1
        await self._member.wait_until_resumed()
        if not endpoint.alive:
            raise EndpointFailedError(
                "connection closed", Verdict.MAY_HAVE_RUN
            )
        if endpoint.work_s > left_s:
            raise DeadlinePassedError(
                "the endpoint exceeded the deadline", Verdict.MAY_HAVE_RUN
            )
        listed = [Header("X-Request-Name", names[0])]
        listed.append(Header("Content-Length", str(len(body))))
        on_head(EndpointResponse(200, "OK", listed))
        for start in range(0, len(body), CHUNK_BYTES):
            waiting = on_chunk(body[start : start + CHUNK_BYTES])
            if waiting is not None:
                await waiting

    def close(self) -> None:
        """Do nothing, as no connection is open."""
