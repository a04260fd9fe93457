"""Assembles the processes of a cell on the users' platform."""

from __future__ import annotations

import asyncio
import signal
from typing import Any
from typing import TYPE_CHECKING

from tornado.httpserver import HTTPServer

from yuccapoint.cell.entry_capacity import EntryCapacity
from yuccapoint.connection.http_client import HttpClient
from yuccapoint.exceptions import SettingsError
from yuccapoint.platform.config_feed import ConfigFeed
from yuccapoint.platform.http_response import send_response
from yuccapoint.platform.node_settings import load_node_settings
from yuccapoint.platform.node_settings import settings_path
from yuccapoint.platform.operator_config import CONFIG_TOPIC
from yuccapoint.platform.setting_follower import SettingFollower
from yuccapoint.platform.store_partition import StorePartition
from yuccapoint.process.caller_drain import drain_callers
from yuccapoint.process.log_output import LogOutput
from yuccapoint.process.metrics import Metrics
from yuccapoint.process.process_logger import ProcessLogger
from yuccapoint.process.stop_deadlines import StopDeadlines
from yuccapoint.process.supervised_task import supervise

if TYPE_CHECKING:
    import pathlib

    from tornado.httputil import HTTPServerRequest

    from yuccapoint.platform.job_api import JobApi
    from yuccapoint.platform.node_settings import NodeSettings
    from yuccapoint.process.cell_entry_process import CellEntryProcess

CELL_TOPIC = "cell"
EXIT_COMPONENT_FAILED = 1
# Metrics are served here on any path; deploy/system.toml names the port too.
METRICS_PORT = 9_611
# The settings file may change without a signal, so its mtime is polled.
SETTINGS_POLL_INTERVAL_S = 2.0
# Time in seconds in which a process with a failed component stops.
FAILED_GRACE_S = 1.0


class RoleRuntime:
    """Settings, logs, metrics and signal handling, shared by both roles."""

    def __init__(self, path: pathlib.Path) -> None:
        self.path = path
        self.settings = load_node_settings(path)
        self.logger = ProcessLogger(self.settings.node_name)
        self.metrics = Metrics()
        self.log_output = LogOutput()
        self.stop_requested = asyncio.Event()
        self._followers: list[SettingFollower[Any]] = []
        self._metrics_server = HTTPServer(self._serve_metrics)

    def start(self) -> None:
        """Start logging, serve metrics and install signal handlers."""
        self.log_output.start()
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self.stop_requested.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        self._metrics_server.listen(METRICS_PORT, self.settings.ip)

    async def wait_for_stop(self, failed: asyncio.Event) -> None:
        """Wait for a stop signal or the failure of a component."""
        waiters = [
            asyncio.ensure_future(event.wait())
            for event in (self.stop_requested, failed)
        ]
        await asyncio.wait(waiters, return_when=asyncio.FIRST_COMPLETED)
        for waiter in waiters:
            waiter.cancel()

    def open_partition(self, topic: str) -> StorePartition:
        """Return a topic's first partition, with its own connections."""
        address = self.settings.platform.address
        client = HttpClient(address)
        self.follow(
            SettingFollower(
                f"store of {topic}",
                lambda settings: settings.platform.address,
                client.move,
                address,
            )
        )
        return StorePartition(client, topic, 0)

    def follow(self, setting: SettingFollower[Any]) -> None:
        """Apply each change of a setting that a reload finds."""
        self._followers.append(setting)

    def reload(self) -> None:
        """Reload the settings file; keep the old settings if it is invalid."""
        try:
            settings = load_node_settings(self.path)
        except SettingsError as error:
            self.logger.log(
                "settings",
                "reload failed; keeping the old settings",
                error=str(error),
            )
            return
        changed = settings != self.settings
        self.logger.log("settings", "reloaded", changed=int(changed))
        self.settings = settings
        for follower in self._followers:
            try:
                if follower.update(settings):
                    self.logger.log(
                        "settings", "change applied", setting=follower.name
                    )
            except ValueError as error:
                self.logger.log(
                    "settings",
                    "change can't be applied; keeping the former value",
                    setting=follower.name,
                    error=str(error),
                )

    def read_capacity(self, settings: NodeSettings) -> EntryCapacity:
        """Return what this VM can carry; nothing is known if it is unclear."""
        try:
            return settings.read_capacity()
        except SettingsError as error:
            self.logger.log(
                "settings",
                "what this machine can carry isn't known; not preferred",
                error=str(error),
            )
            return EntryCapacity()

    async def watch_settings(self) -> None:
        """Reload the settings file whenever its mtime changes."""
        loaded_mtime_ns = self.path.stat().st_mtime_ns
        while True:
            await asyncio.sleep(SETTINGS_POLL_INTERVAL_S)
            try:
                mtime_ns = self.path.stat().st_mtime_ns
            except OSError as error:
                self.logger.log(
                    "settings",
                    "can't stat the file; retrying",
                    error=str(error),
                )
                continue
            if mtime_ns != loaded_mtime_ns:
                loaded_mtime_ns = mtime_ns
                self.reload()

    def _serve_metrics(self, request: HTTPServerRequest) -> None:
        rendered = self.metrics.render()
        headers = {"Content-Type": rendered.content_type}
        if not send_response(request, 200, rendered.body, headers):
            self.logger.log("metrics", "client closed the connection")


async def run_entry() -> int:
    """Run an entry until a signal stops it.

    Returns
    -------
    int
        The exit code; an error if a component failed.
    """
    from yuccapoint.platform.job_api import JobApi
    from yuccapoint.process.cell_entry_process import CellEntryProcess

    runtime = RoleRuntime(settings_path())
    runtime.start()
    settings: NodeSettings = runtime.settings
    entry = CellEntryProcess(
        settings.node_name,
        settings.peer_address,
        runtime.open_partition(CELL_TOPIC),
        runtime.logger,
        runtime.metrics,
        runtime.read_capacity(settings),
    )
    runtime.follow(
        SettingFollower(
            "limits",
            runtime.read_capacity,
            entry.use_capacity,
            runtime.read_capacity(settings),
        )
    )
    _follow_adviser(runtime, entry)
    job_api = JobApi(entry.job_gateway)
    listen = settings.listen_addrs
    job_api.listen(listen.front, listen.ready)
    entry.start()
    feed = ConfigFeed(
        runtime.open_partition(CONFIG_TOPIC),
        entry.job_gateway.install,
        runtime.logger,
    )
    background_tasks = [
        supervise(job, runtime.logger, entry.failed)
        for job in (feed.run(), runtime.watch_settings())
    ]
    await runtime.wait_for_stop(entry.failed)
    await _drain(
        entry, job_api, runtime.logger, runtime.settings.bounds.grace_s
    )
    entry.stop()
    for task in background_tasks:
        task.cancel()
    runtime.logger.log("entry", "stopped", cut=job_api.open_connections)
    runtime.log_output.stop()
    return _exit_code(entry.failed)


def _follow_adviser(runtime: RoleRuntime, entry: CellEntryProcess) -> None:
    """Query the adviser that the settings name, also after a change."""
    from yuccapoint.platform.adviser_client import AdviserClient

    clients: list[AdviserClient] = []

    def use(address: str | None) -> None:
        if not address:
            entry.use_adviser(None)
            return
        if clients:
            clients[0].move(address)
        else:
            clients.append(AdviserClient(address))
        entry.use_adviser(clients[0])

    address = runtime.settings.advisor
    use(address)
    runtime.follow(
        SettingFollower(
            "adviser", lambda settings: settings.advisor, use, address
        )
    )


def _exit_code(failed: asyncio.Event) -> int:
    return EXIT_COMPONENT_FAILED if failed.is_set() else 0


async def _drain(
    entry: CellEntryProcess,
    job_api: JobApi,
    logger: ProcessLogger,
    grace_s: float,
) -> None:
    """Hand over leadership and serve callers until they are gone."""
    loop = asyncio.get_running_loop()
    deadlines = StopDeadlines(loop.time(), grace_s)
    try:
        await entry.hand_over()
    except Exception as error:  # noqa: BLE001
        # Callers are answered all the same.
        logger.log("entry", "hand-over failed", error=repr(error))
    if entry.failed.is_set():
        # The platform restarts a failed process.
        deadlines = StopDeadlines(loop.time(), FAILED_GRACE_S)
    await drain_callers(job_api, deadlines, logger)


async def run_agent() -> int:
    """Run an agent until a signal stops it.

    Returns
    -------
    int
        The exit code; an error if a component failed.
    """
    from yuccapoint.platform.check_in_server import CheckInServer
    from yuccapoint.platform.worker_client import WorkerClient
    from yuccapoint.process.cell_agent_process import CellAgentProcess

    runtime = RoleRuntime(settings_path())
    runtime.start()
    settings: NodeSettings = runtime.settings
    agent = CellAgentProcess(
        settings.node_name,
        settings.peer_address,
        runtime.open_partition(CELL_TOPIC),
        WorkerClient,
        runtime.logger,
        runtime.metrics,
        max_hold_s=settings.bounds.max_hold_ms / 1000,
    )
    check_in_server = CheckInServer(
        settings.node_name,
        agent.on_check_in,
        agent.on_leave,
        agent.on_invalid_check_in,
    )
    check_in_server.listen(settings.listen_addrs.control)
    agent.start()
    watch = supervise(runtime.watch_settings(), runtime.logger, agent.failed)
    await runtime.wait_for_stop(agent.failed)
    await agent.stop()
    watch.cancel()
    runtime.logger.log("agent", "stopped")
    runtime.log_output.stop()
    return _exit_code(agent.failed)
