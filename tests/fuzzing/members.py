"""Entry and agent processes connected to the simulated environment."""

from __future__ import annotations

import asyncio
import contextvars
from typing import Any
from typing import get_args
from typing import TYPE_CHECKING

from fuzzing.clock import CURRENT_CLOCK
from fuzzing.clock import MemberClock
from fuzzing.network import ScriptedControlChannel
from fuzzing.scripted_platform import ScriptedEndpointClient
from fuzzing.scripted_platform import ScriptedWorker
from yuccapoint.job.records import Record
from yuccapoint.process.agent_process import AgentProcess
from yuccapoint.process.entry_process import EntryProcess
from yuccapoint.process.operator_api import operator_application
from yuccapoint.process.settings.loader import parse_settings
from yuccapoint.process.settings.sections import AgentSettings
from yuccapoint.process.settings.sections import EntrySettings

if TYPE_CHECKING:
    from collections.abc import Callable

    from fuzzing.scripted_platform import ScriptedEndpoint
    from fuzzing.scripted_platform import WorkerHost
    from fuzzing.world import World

ENTRY_SETTINGS = """
[process]
name = {name}
data_centre = dc-{region}
region = {region}
[listen]
caller_address = {host}:1
operator_address = {host}:2
control_address = {host}:3
[log]
address = 127.9.0.1:1
snapshot_every_records = 30
snapshot_every_s = 60
[entries]
seeds = {seeds}
"""
AGENT_SETTINGS = """
[process]
name = {name}
data_centre = dc-{region}
region = {region}
rack = rack
pool = pool
[listen]
announce_address = {host}:1
control_address = {host}:3
session_address = {host}:4
[worker]
address = {host}:5
[entries]
seeds = {seeds}
"""
RECORD_KINDS = {
    kind.__struct_config__.tag: kind.__name__ for kind in get_args(Record)
}
CURRENT_MEMBER: contextvars.ContextVar[Member] = contextvars.ContextVar(
    "member"
)


class Member:
    """One run of a process, with its own clock and context variables."""

    process: Any

    def __init__(
        self, world: World, name: str, region: str, clock: MemberClock
    ) -> None:
        self.world = world
        self.name = name
        self.region = region
        self.clock = clock
        self.alive = True
        self.paused = False
        self.served_requests: set[str] = set()
        self.planned_stop: asyncio.Future[list[str]] | None = None
        self._resumed: asyncio.Future[None] | None = None
        self._context = contextvars.copy_context()
        self._context.run(CURRENT_CLOCK.set, clock)
        self._context.run(CURRENT_MEMBER.set, self)

    def call(self, call: Callable[..., object], *args: object) -> None:
        """Call a function in the process's context and run the loop."""
        self.post(call, *args)
        self.world.loop.settle()

    def post(self, call: Callable[..., object], *args: object) -> None:
        """Schedule a call in the process's context."""
        self.world.loop.call_soon(call, *args, context=self._context)

    def spawn(self, call: Callable[..., Any], *args: object) -> None:
        """Schedule a coroutine in the process's context."""

        def begin() -> None:
            asyncio.ensure_future(call(*args))

        self.world.loop.call_soon(begin, context=self._context)

    def begin_planned_stop(self) -> None:
        """Start a planned stop of the process."""

        def begin() -> None:
            self.planned_stop = asyncio.ensure_future(self.process.stop())

        self.call(begin)

    def kill(self) -> None:
        """Kill the process immediately."""
        if not self.alive:
            return
        self.alive = False
        self.resume()
        self.call(self.process.kill)

    def pause(self) -> None:
        self.paused = True

    def resume(self) -> None:
        self.paused = False
        if self._resumed is not None:
            self._resumed.set_result(None)
            self._resumed = None

    async def wait_until_resumed(self) -> None:
        """Wait until the process is not paused."""
        while self.paused:
            if self._resumed is None:
                self._resumed = asyncio.get_event_loop().create_future()
            await asyncio.shield(self._resumed)

    def trace(self, text: str) -> None:
        self.world.trace(f"{self.name} {text}")

    def trace_record(self, record: dict[str, Any]) -> None:
        """Trace a record that this member appends to the log."""
        fields = [
            f"{key}={record[key]}"
            for key in ("entry", "vm", "term", "job_id", "attempt", "edit_id")
            if key in record
        ]
        kind = RECORD_KINDS[record["type"]]
        self.trace(f"appends {kind} {' '.join(fields)}")

    def wall_ms(self) -> int:
        return self.world.wall_ms()

    def can_reach_log(self) -> bool:
        world = self.world
        network = world.network
        cut = (
            self.name in network.isolated_members | network.members_without_log
        )
        remote = self.region != "west" and bool(world.network.isolated_regions)
        return self.alive and not cut and not remote


class EntryMember(Member):
    """One run of an entry process."""

    process: EntryProcess

    def __init__(
        self, world: World, index: int, region: str, clock: MemberClock
    ) -> None:
        super().__init__(world, f"entry-{index}", region, clock)
        host = f"127.1.0.{index + 1}"
        text = ENTRY_SETTINGS.format(
            name=self.name, region=region, host=host, seeds=world.seeds
        )
        self.call(self._build, parse_settings(text, EntrySettings))
        world.network.members[f"{host}:3"] = self
        self._next_heartbeat_s = 0.0

    def _build(self, settings: EntrySettings) -> None:
        process = EntryProcess(settings)
        self.process = process
        world = self.world
        process.control_channel = ScriptedControlChannel(  # type: ignore
            world.network, self, process._on_message
        )
        process.log = world.log.for_member(self)  # type: ignore[assignment]
        process.pump._log = process.log
        self.operator_app = operator_application(process)
        process.pump.start()

    def tick(self) -> None:
        if self.world.loop.now_s >= self._next_heartbeat_s:
            self._next_heartbeat_s = self.world.loop.now_s + 1.0
            self.post(self.process._send_heartbeats)
        self.post(self.process._tick)


class AgentMember(Member):
    """One run of an agent process on a VM."""

    process: AgentProcess

    def __init__(
        self,
        world: World,
        index: int,
        region: str,
        host: WorkerHost,
        endpoint: ScriptedEndpoint,
    ) -> None:
        super().__init__(world, host.vm, region, host.clock)
        self.host = host
        self.endpoint = endpoint
        address = f"127.2.0.{index + 1}"
        text = AGENT_SETTINGS.format(
            name=self.name, region=region, host=address, seeds=world.seeds
        )
        self.call(self._build, parse_settings(text, AgentSettings))
        world.network.members[f"{address}:3"] = self
        world.network.sessions[f"{address}:4"] = self
        self._next_announce_s = 0.0

    def _build(self, settings: AgentSettings) -> None:
        process = AgentProcess(settings)
        self.process = process
        process.control_channel = ScriptedControlChannel(  # type: ignore
            self.world.network, self, process._on_message
        )
        worker = ScriptedWorker(self.host, self)
        process._worker = worker  # type: ignore[assignment]
        process.driver._worker = worker
        process.client = ScriptedEndpointClient(  # type: ignore[assignment]
            self.endpoint, self, self.world.loop
        )
        process.driver.start()

    def tick(self) -> None:
        if self.world.loop.now_s >= self._next_announce_s:
            self._next_announce_s = self.world.loop.now_s + 1.0
            self.announce()
        self.post(self.process._tick)

    def announce(self) -> None:
        if self.endpoint.alive:
            announcement = self.endpoint.announcement("service")
            self.post(self._announce, announcement)

    def _announce(self, announcement: object) -> None:
        now_s = self.clock.monotonic()
        self.process.endpoints.announce(announcement, now_s)  # type: ignore
