"""Puts the processes of a cell together on the users' platform."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

from tornado.httpserver import HTTPServer

from yuccapoint.connection.kept_client import KeptClient
from yuccapoint.exceptions import SettingsError
from yuccapoint.platform.config_feed import ConfigFeed
from yuccapoint.platform.http_answer import send_answer
from yuccapoint.platform.node_settings import load_node_settings
from yuccapoint.platform.node_settings import settings_path
from yuccapoint.platform.operator_config import CONFIG_TOPIC
from yuccapoint.platform.store import StorePartition
from yuccapoint.process.log_output import LogOutput
from yuccapoint.process.metrics import Metrics
from yuccapoint.process.process_logger import ProcessLogger

if TYPE_CHECKING:
    import pathlib

    from tornado.httputil import HTTPServerRequest

    from yuccapoint.platform.front import Front
    from yuccapoint.platform.node_settings import NodeSettings
    from yuccapoint.process.cell_entry_process import CellEntryProcess

CELL_TOPIC = "cell"
# Port of the metrics, on any path; deploy/system.toml names it too.
METRICS_PORT = 9_611
# The settings file is looked at this often, in seconds; it may change
# without a signal.
SETTINGS_EVERY_S = 2.0
# New connections still come for so many seconds after a planned stop has
# begun: the platform asks once a second whether an entry is ready and leaves
# it alone after two misses.
LINGER_S = 2.6
# A planned stop ends, in seconds from its begin, with answers still under
# way at the latest: well below the time that the platform grants.
MAX_STOP_S = 4.8
# Open connections are closed once nothing came for so many seconds.
QUIET_S = 0.3
STOP_TICK_S = 0.02


class Role:
    """What both roles share: settings, logs, metrics, signals."""

    def __init__(self, path: pathlib.Path) -> None:
        self.path = path
        self.settings = load_node_settings(path)
        self.logs = ProcessLogger(self.settings.node_name)
        self.metrics = Metrics()
        self.output = LogOutput()
        self.stop_asked = asyncio.Event()
        self._metrics_server = HTTPServer(self._serve_metrics)

    def begin(self) -> None:
        """Write logs, serve metrics and listen to signals."""
        self.output.start()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop_asked.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        self._metrics_server.listen(METRICS_PORT, self.settings.ip)

    async def wait_for_end(self, failed: asyncio.Event) -> None:
        """Wait until a signal asks for a stop or a part has failed."""
        ends = [
            asyncio.ensure_future(event.wait())
            for event in (self.stop_asked, failed)
        ]
        await asyncio.wait(ends, return_when=asyncio.FIRST_COMPLETED)
        for end in ends:
            end.cancel()

    def store(self, topic: str) -> StorePartition:
        """Give the first partition of a topic, with its own connections."""
        client = KeptClient(self.settings.platform.address)
        return StorePartition(client, topic, 0)

    def reload(self) -> None:
        """Read the settings file again."""
        try:
            settings = load_node_settings(self.path)
        except SettingsError as error:
            self.logs.log("settings", "kept the old ones", error=str(error))
            return
        changed = settings != self.settings
        self.logs.log("settings", "read again", changed=int(changed))
        self.settings = settings

    async def watch_settings(self) -> None:
        """Read the settings file again whenever it changed."""
        seen = self.path.stat().st_mtime_ns
        while True:
            await asyncio.sleep(SETTINGS_EVERY_S)
            try:
                found = self.path.stat().st_mtime_ns
            except OSError as error:
                self.logs.log("settings", "gone", error=str(error))
                continue
            if found != seen:
                seen = found
                self.reload()

    def _serve_metrics(self, request: HTTPServerRequest) -> None:
        rendered = self.metrics.render()
        headers = {"Content-Type": rendered.content_type}
        if not send_answer(request, 200, rendered.body, headers):
            self.logs.log("metrics", "the reader has gone")


async def run_entry() -> None:
    """Run an entry until a signal stops it."""
    from yuccapoint.platform.adviser import AdviserClient
    from yuccapoint.platform.front import Front
    from yuccapoint.process.cell_entry_process import CellEntryProcess

    role = Role(settings_path())
    role.begin()
    settings: NodeSettings = role.settings
    entry = CellEntryProcess(
        settings.node_name,
        settings.peer_address,
        role.store(CELL_TOPIC),
        role.logs,
        role.metrics,
    )
    if settings.advisor:
        entry.adviser = AdviserClient(settings.advisor)
    front = Front(entry.job_service)
    listen = settings.listen_addrs
    front.listen(listen.front, listen.ready)
    entry.start()
    feed = ConfigFeed(
        role.store(CONFIG_TOPIC), entry.job_service.install, role.logs
    )
    helpers = [
        asyncio.ensure_future(feed.run()),
        asyncio.ensure_future(role.watch_settings()),
    ]
    await role.wait_for_end(entry.failed)
    await _drain(entry, front)
    entry.stop()
    for helper in helpers:
        helper.cancel()
    role.logs.log("entry", "stopped", cut=front.in_flight)
    role.output.stop()


async def _drain(entry: CellEntryProcess, front: Front) -> None:
    """Answer callers until none comes any more."""
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    await entry.hand_over()
    if entry.failed.is_set():
        # The platform starts a failed process anew.
        front.stop_listening()
        return
    await asyncio.sleep(began_s + LINGER_S - loop.time())
    front.stop_listening()
    while loop.time() < began_s + MAX_STOP_S:
        quiet_s = loop.time() - front.called_at_s
        if not front.in_flight and quiet_s > QUIET_S:
            return
        await asyncio.sleep(STOP_TICK_S)


async def run_agent() -> None:
    """Run an agent until a signal stops it."""
    from yuccapoint.platform.check_ins import CheckIns
    from yuccapoint.platform.worker import WorkerClient
    from yuccapoint.process.cell_agent_process import CellAgentProcess

    role = Role(settings_path())
    role.begin()
    settings: NodeSettings = role.settings
    agent = CellAgentProcess(
        settings.node_name,
        settings.peer_address,
        role.store(CELL_TOPIC),
        WorkerClient,
        role.logs,
        role.metrics,
    )
    check_ins = CheckIns(
        settings.node_name,
        agent.on_check_in,
        agent.on_leave,
        agent.on_invalid_check_in,
    )
    check_ins.listen(settings.listen_addrs.control)
    agent.start()
    watch = asyncio.ensure_future(role.watch_settings())
    await role.wait_for_end(agent.failed)
    await agent.stop()
    watch.cancel()
    role.logs.log("agent", "stopped")
    role.output.stop()
