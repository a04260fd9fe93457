from __future__ import annotations

import asyncio
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
from typing import Any
from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when
import msgspec
from platform_path_steps import Deployment
from platform_path_steps import job_body
from platform_path_steps import run
from platform_path_steps import wait_until
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders
from tornado.httputil import HTTPServerRequest
from tornado.httputil import ResponseStartLine

from yuccapoint.cell import cell_records
from yuccapoint.cell.entry_capacity import EntryCapacity
from yuccapoint.connection.http_client import HttpClient
from yuccapoint.exceptions import YuccapointError
from yuccapoint_standins.deployment import find_free_address

if TYPE_CHECKING:
    from behave.runner import Context

VALIDITY_MS = 5_000
FRONT_PORT = 20_001
PEER_PORT = 20_010
# Longer than the interval at which an unannounced change is noticed.
NOTICED_S = 3.0
NAMES = ("first", "second")


class Adviser:
    """Allows each step on each worker, and counts the queries."""

    def __init__(self) -> None:
        self.queries = 0
        self.address = find_free_address()
        self._server = HTTPServer(self._on_request)
        host, _, port = self.address.rpartition(":")
        self._server.listen(int(port), host)

    def _on_request(self, request: HTTPServerRequest) -> None:
        self.queries += 1
        workers = msgspec.json.decode(request.body)["Workers"]
        body = msgspec.json.encode(
            {"Allowed": [[worker, "ticket"] for worker in workers]}
        )
        connection: Any = request.connection
        headers = HTTPHeaders({"Content-Length": str(len(body))})
        start = ResponseStartLine("HTTP/1.1", 200, "")
        connection.write_headers(start, headers, body)
        connection.finish()

    async def stop(self) -> None:
        self._server.stop()
        await self._server.close_all_connections()


def _local_ip() -> str:
    """Return a loopback address that no other run of the tests has."""
    number = os.getpid()
    return f"127.{88 + (number >> 16) % 32}.{number >> 8 & 255}.{number & 255}"


def _write_settings(context: Context, **changes: object) -> None:
    context.entry_settings.update(changes)
    content = msgspec.json.encode(context.entry_settings)
    new = context.settings_path.with_suffix(".new")
    new.write_bytes(content)
    new.replace(context.settings_path)


def _config() -> bytes:
    route = {
        "Name": "q",
        "Host": _local_ip(),
        "PathPrefix": "/q/",
        "Service": "pool",
        "MaxAttempts": 2,
        "Advisor": {"ValidityMs": VALIDITY_MS},
    }
    return msgspec.json.encode({"Version": 5, "Routes": [route]})


async def _call(context: Context, method: str, path: str, body: bytes):
    client = HttpClient(f"{_local_ip()}:{FRONT_PORT}")
    try:
        return await client.call(method, path, body, timeout_s=4.0)
    finally:
        client.close()


async def _is_ready(context: Context) -> bool:
    try:
        response = await _call(context, "GET", "/yuccapoint/readyz", b"")
    except YuccapointError:
        return False
    return response.status == 200


@given(
    "an entry process, a VM and two advisers,"
    " of which the settings name {which}"
)
def start_entry(context: Context, which: str) -> None:
    async def start() -> None:
        context.deployment = Deployment(0, 1)
        context.cleanups.append(context.deployment.close)
        context.deployment.store.put("keyed.op", "config", _config())
        context.advisers = [Adviser() for _ in NAMES]
        folder = tempfile.TemporaryDirectory()
        context.cleanups.append(folder.cleanup)
        context.settings_path = pathlib.Path(folder.name, "entry.json")
        ip = _local_ip()
        context.entry_settings = {
            "NodeName": "entry-0",
            "Ip": ip,
            "Zone": "zone",
            "Region": "region",
            "ListenAddrs": {
                "Front": f"{ip}:{FRONT_PORT}",
                "Ready": f"{ip}:{FRONT_PORT}",
            },
            "PortRange": [PEER_PORT, PEER_PORT + 15],
            "platform": {"Address": context.deployment.store_address},
        }
        first = context.advisers[0].address
        _write_settings(context, Advisor=None if which == "none" else first)
        path = str(context.settings_path)
        context.entry_process = subprocess.Popen(
            [sys.executable, "-m", "yuccapoint.platform", "entry"],
            stdout=subprocess.DEVNULL,
            env={**os.environ, "YUCCAPOINT_NODE_FILE": path},
        )
        context.cleanups.append(lambda: _end(context.entry_process))
        for _ in range(100):
            if await _is_ready(context):
                return
            await asyncio.sleep(0.1)
        raise AssertionError("the entry did not become ready")

    run(context, start())


def _end(process: subprocess.Popen[bytes]) -> None:
    process.kill()
    process.wait()


@when("a caller submits advised job {number:d}")
def submit(context: Context, number: int) -> None:
    path = f"/q/{number:016x}"
    response = run(context, _call(context, "POST", path, job_body(1, 1)))
    assert response.status == 200, response.status


@then('advised job {number:d} is "{state}" within {seconds:d} s')
def job_state(context: Context, number: int, state: str, seconds: int) -> None:
    async def wait() -> bytes:
        wanted = msgspec.json.encode({"State": state})
        seen = b""
        for _ in range(10 * seconds):
            response = await _call(context, "GET", f"/q/{number:016x}", b"")
            seen = response.body
            if seen == wanted:
                break
            await asyncio.sleep(0.1)
        return seen

    seen = run(context, wait())
    assert msgspec.json.decode(seen) == {"State": state}, seen


@then("the {which} adviser was queried")
def was_queried(context: Context, which: str) -> None:
    assert context.advisers[NAMES.index(which)].queries


@when("the settings name the second adviser, {how}")
def name_second(context: Context, how: str) -> None:
    _change_adviser(context, context.advisers[1].address, how)


@when('the settings name "{address}" as adviser, {how}')
def name_other(context: Context, address: str, how: str) -> None:
    _change_adviser(context, address, how)


def _change_adviser(context: Context, address: str, how: str) -> None:
    _write_settings(context, Advisor=address)
    if how == "with a SIGHUP":
        context.entry_process.send_signal(signal.SIGHUP)
        run(context, asyncio.sleep(0.3))
    else:
        assert how == "without a signal", how
        run(context, asyncio.sleep(NOTICED_S))


@when("the first adviser is gone")
def first_gone(context: Context) -> None:
    run(context, context.advisers[0].stop())


@when("the first adviser stays")
def first_stays(context: Context) -> None:
    assert context.advisers[1].queries == 0


@when("the store moves to another address, and the settings name it")
def move_store(context: Context) -> None:
    async def move() -> None:
        store = context.deployment.store
        address = find_free_address()
        store.stop()
        await store._server.close_all_connections()
        store.listen(address)
        context.deployment.agents[0]._store._client.move(address)
        _write_settings(context, platform={"Address": address})
        context.entry_process.send_signal(signal.SIGHUP)
        assert await wait_until(lambda: store.appends > 0, 5)

    run(context, move())


@when("the settings name limits of {limits}, with a SIGHUP")
def name_limits(context: Context, limits: str) -> None:
    _write_settings(context, Limits=msgspec.json.decode(limits))
    context.entry_process.send_signal(signal.SIGHUP)


@then(
    "the entry is registered with {millicores:d} millicores and"
    " {link_kbps:d} kbit/s"
)
def registered_with(context: Context, millicores: int, link_kbps: int) -> None:
    key = cell_records.ENTRY + context.entry_settings["NodeName"]

    def find_capacities() -> list[EntryCapacity]:
        return [
            cell_records.decode(key, records[key][1]).capacity
            for records in context.deployment.store._newest.values()
            if key in records
        ]

    async def wait() -> None:
        expected = [EntryCapacity(millicores, link_kbps)]
        await wait_until(lambda: find_capacities() == expected, 5)
        assert find_capacities() == expected, find_capacities()

    run(context, wait())
