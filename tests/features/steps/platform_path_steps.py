from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when
import msgspec

from yuccapoint.connection.cell_store import StoreRefusedError
from yuccapoint.connection.http_client import HttpClient
from yuccapoint.platform.check_in_server import CheckInServer
from yuccapoint.platform.config_feed import ConfigFeed
from yuccapoint.platform.job_api import JobApi
from yuccapoint.platform.store_partition import StorePartition
from yuccapoint.platform.worker_client import WorkerClient
from yuccapoint.process.cell_agent_process import CellAgentProcess
from yuccapoint.process.cell_entry_process import CellEntryProcess
from yuccapoint.process.metrics import Metrics
from yuccapoint.process.process_logger import ProcessLogger
from yuccapoint_standins.deployment import find_free_address
from yuccapoint_standins.platform_store import PlatformStore
from yuccapoint_standins.platform_worker import PlatformWorker

if TYPE_CHECKING:
    from behave.runner import Context

# Host of the requests in these scenarios.
HOST = "127.0.0.1"
JOB_ID = "00000000000000cc"
RUN_S = 0.4


def config(
    version: int,
    *,
    routes: bool = True,
    name: str = "q",
    prefix: str = "/q/",
    pool: str = "pool",
    others: tuple[dict[str, str], ...] = (),
) -> bytes:
    route = {
        "Name": name,
        "Host": HOST,
        "PathPrefix": prefix,
        "Service": pool,
        "MaxAttempts": 2,
        "SloFactor": 2.0,
        "SloMs": 1000,
    }
    listed = [route, *({**route, **other} for other in others)]
    body = {"Version": version, "Routes": listed if routes else []}
    return msgspec.json.encode(body)


class Deployment:
    """Entries, agents and workers in one event loop, on loopback."""

    def __init__(self, entries: int, vms: int, pool: str = "pool") -> None:
        self.pool = pool
        self.store = PlatformStore()
        self.store_address = find_free_address()
        self.store.listen(self.store_address)
        self.store.put("keyed.op", "config", config(2))
        self.job_addresses: list[str] = []
        self.entries: list[CellEntryProcess] = []
        self.agents: list[CellAgentProcess] = []
        self.agent_addresses: list[str] = []
        self.check_in_addresses: list[str] = []
        self.workers: list[PlatformWorker] = []
        self._feed_tasks: list[asyncio.Task[None]] = []
        self._servers: list[object] = []
        for number in range(entries):
            self._add_entry(number)
        for number in range(vms):
            self._add_vm(number)

    def partition(self, topic: str) -> StorePartition:
        return StorePartition(HttpClient(self.store_address), topic, 0)

    def _add_entry(self, number: int) -> None:
        name = f"entry-{number}"
        entry = CellEntryProcess(
            name,
            find_free_address(),
            self.partition("cell"),
            ProcessLogger(name),
            Metrics(),
        )
        job_api = JobApi(entry.job_gateway)
        address = find_free_address()
        job_api.listen(address, address)
        feed = ConfigFeed(
            self.partition("op"),
            entry.job_gateway.install,
            ProcessLogger(name),
        )
        entry.start()
        self._feed_tasks.append(asyncio.ensure_future(feed.run()))
        self._servers.append(job_api)
        self.entries.append(entry)
        self.job_addresses.append(address)

    def _add_vm(self, number: int) -> None:
        vm = f"vm-{number}"
        check_in_address = find_free_address()
        self.check_in_addresses.append(check_in_address)
        self.agent_addresses.append(find_free_address())
        self.agents.append(self.start_agent(number))
        check_in_server = CheckInServer(
            vm,
            lambda check_in: self.agents[number].on_check_in(check_in),
            lambda worker_id: self.agents[number].on_leave(worker_id),
            lambda text: self.agents[number].on_invalid_check_in(text),
        )
        check_in_server.listen(check_in_address)
        self._servers.append(check_in_server)
        worker = PlatformWorker(
            f"i-{number}",
            self.pool,
            find_free_address(),
            check_in_address,
            RUN_S,
        )
        worker.start()
        self.workers.append(worker)

    def start_agent(self, number: int) -> CellAgentProcess:
        vm = f"vm-{number}"
        agent = CellAgentProcess(
            vm,
            self.agent_addresses[number],
            self.partition("cell"),
            WorkerClient,
            ProcessLogger(vm),
            Metrics(),
        )
        agent.start()
        return agent

    def leader(self) -> CellEntryProcess | None:
        for entry in self.entries:
            if entry.leader is not None:
                return entry
        return None

    def kill(self, entry: CellEntryProcess) -> None:
        entry.leader = None
        for task in entry._tasks:
            task.cancel()
        entry._control_channel.close()

    def close(self) -> None:
        for entry in self.entries:
            self.kill(entry)
        for agent in self.agents:
            for task in agent._tasks:
                task.cancel()
            agent._control_channel.close()
        for worker in self.workers:
            worker.stop()
        for feed_task in self._feed_tasks:
            feed_task.cancel()
        for server in self._servers:
            if isinstance(server, JobApi):
                server.stop_listening()
            else:
                server.stop()
        self.store.stop()


def run(context: Context, coroutine):
    return context.loop.run_until_complete(asyncio.wait_for(coroutine, 30))


async def wait_until(check, seconds: float) -> bool:
    end_s = time.monotonic() + seconds
    while time.monotonic() < end_s:
        if check():
            return True
        await asyncio.sleep(0.02)
    return False


async def call(context: Context, entry: int, method: str, path: str, body):
    client = HttpClient(context.deployment.job_addresses[entry])
    began_s = time.monotonic()
    context.response = await client.call(method, path, body, timeout_s=6.0)
    context.took_s = time.monotonic() - began_s
    client.close()
    return context.response


def job_body(steps: int, tasks: int, **more) -> bytes:
    listed = [
        {
            "Count": tasks,
            "Cpu": 500,
            "MemMb": 64,
            "EstimateMs": 400,
            **({"DependsOn": [number - 1]} if number else {}),
            **more,
        }
        for number in range(steps)
    ]
    return msgspec.json.encode({"Spec": "work", "Steps": listed})


@given("a platform with {entries:d} entries and {vms:d} VMs")
def make_platform(
    context: Context, entries: int, vms: int, pool: str = "pool"
) -> None:
    async def start() -> None:
        context.deployment = Deployment(entries, vms, pool)
        context.cleanups.append(context.deployment.close)

        def ready() -> bool:
            leader = context.deployment.leader()
            if leader is None or leader.leader is None:
                return False
            ledgers = leader.leader.vms.values()
            observed = sum(vm.runs_listed for vm in ledgers)
            return observed == vms and all(
                entry.job_gateway.ready for entry in context.deployment.entries
            )

        assert await wait_until(ready, 10)

    run(context, start())


@when("a caller submits a job of {steps:d} steps with {tasks:d} tasks each")
def submit(context: Context, steps: int, tasks: int) -> None:
    context.body = job_body(steps, tasks)
    run(context, call(context, 0, "POST", f"/q/{JOB_ID}", context.body))


@when("a caller submits a job that runs until it is cancelled")
def submit_endless_job(context: Context) -> None:
    context.body = job_body(1, 1, Persistent=True)
    run(context, call(context, 0, "POST", f"/q/{JOB_ID}", context.body))


@when("the same job is submitted again at the other entry")
def submit_again(context: Context) -> None:
    run(context, call(context, 1, "POST", f"/q/{JOB_ID}", context.body))


@when("the caller cancels the job at the other entry")
def cancel(context: Context) -> None:
    run(context, call(context, 1, "DELETE", f"/q/{JOB_ID}", b""))


@when("the leader is killed")
def kill_leader(context: Context) -> None:
    async def kill() -> None:
        await asyncio.sleep(0.2)
        leader = context.deployment.leader()
        context.left = 1 - context.deployment.entries.index(leader)
        context.deployment.kill(leader)

    run(context, kill())


@when("each agent is restarted")
def restart_agents(context: Context) -> None:
    async def restart() -> None:
        await asyncio.sleep(0.2)
        for number, agent in enumerate(context.deployment.agents):
            await agent.stop()
            await asyncio.sleep(0.05)
            fresh = context.deployment.start_agent(number)
            context.deployment.agents[number] = fresh

    run(context, restart())


@when("each worker restarts with a start time {seconds:d} s earlier")
def restart_workers(context: Context, seconds: int) -> None:
    for worker in context.deployment.workers:
        worker._begin_instance(worker._started_at_ms - 1000 * seconds)

    async def wait() -> None:
        # Polls of the former instances reach the new ones first.
        await asyncio.sleep(1.0)

    run(context, wait())


@when("the store refuses all calls")
def refuse_calls(context: Context) -> None:
    context.deployment.store.refuse = True


class RefusingStore:
    """A store that refuses one entry."""

    async def append(self, records, **options) -> int:
        del records, options
        raise StoreRefusedError("refused by the test")


@when("the store refuses the first entry's appends for callers")
def refuse_first_entry(context: Context) -> None:
    entries = context.deployment.entries

    async def wait_for_peers() -> None:
        view = entries[0].view
        assert await wait_until(lambda: view.peers_of(entries[0].name), 5)

    run(context, wait_for_peers())
    entries[0].job_gateway._appender._store = RefusingStore()


@when("the other entry stops responding")
def stop_responding(context: Context) -> None:
    context.deployment.entries[1]._control_channel._receive_task.cancel()


@when("the responses of the store get lost")
def lose_responses(context: Context) -> None:
    context.deployment.store.lose_answers = True


@when("the store's history expires")
def expire_history(context: Context) -> None:
    context.deployment.store.compact("keyed.cell")


@when('a caller sends {method} "{path}" with "{body}"')
def send(context: Context, method: str, path: str, body: str) -> None:
    run(context, call(context, 0, method, path, body.encode()))


@when('a caller sends {method} "{path}" with ""')
def send_empty(context: Context, method: str, path: str) -> None:
    run(context, call(context, 0, method, path, b""))


@when("another writer appends malformed records to the store")
def append_malformed_records(context: Context) -> None:
    store = context.deployment.store
    for key in ("s:xx", "leader", "p:1.0", "nothing known", "m:vm-9"):
        store.put("keyed.cell", key, b"\xc1 no record")
    store.put("keyed.op", "config", b"no config")


@when('a worker checks in with "{first}" and then with "{second}"')
def malformed_check_in(context: Context, first: str, second: str) -> None:
    async def put() -> None:
        client = HttpClient(context.deployment.check_in_addresses[0])
        for body in (first, second):
            response = await client.call(
                "PUT",
                "/yuccapoint/instances/i-0",
                body.encode(),
                timeout_s=2.0,
            )
            assert response.status == 400, response.status
        client.close()

    run(context, put())


@when(
    "the operator writes version {first:d}"
    " and then version {second:d} without routes"
)
def lower_version(context: Context, first: int, second: int) -> None:
    async def write() -> None:
        store = context.deployment.store
        store.put("keyed.op", "config", config(first))
        await asyncio.sleep(0.3)
        store.put("keyed.op", "config", config(second, routes=False))
        await asyncio.sleep(0.3)

    run(context, write())


@then("the response status is {status:d}")
def check_status(context: Context, status: int) -> None:
    assert context.response.status == status, context.response.status


@then(
    "the response status is {status:d} with a Retry-After header,"
    " within {seconds:d} s"
)
def check_refusal(context: Context, status: int, seconds: int) -> None:
    assert context.response.status == status, context.response.status
    assert int(context.response.headers["Retry-After"]) > 0
    assert context.took_s < seconds, context.took_s


async def wait_for_state(
    context: Context, entry: int, state: str, seconds: float
) -> None:
    end_s = time.monotonic() + seconds
    seen = b""
    while time.monotonic() < end_s:
        response = await call(context, entry, "GET", f"/q/{JOB_ID}", b"")
        seen = response.body
        wanted = msgspec.json.encode({"State": state})
        if response.status == 200 and seen == wanted:
            return
        await asyncio.sleep(0.1)
    raise AssertionError((entry, seen))


@then('the job is "{state}" within {seconds:d} s at each entry')
def state_at_each_entry(context: Context, state: str, seconds: int) -> None:
    for entry in range(len(context.deployment.entries)):
        run(context, wait_for_state(context, entry, state, seconds))


@then('the job is "{state}" within {seconds:d} s at the remaining entry')
def state_at_remaining_entry(
    context: Context, state: str, seconds: int
) -> None:
    run(context, wait_for_state(context, context.left, state, seconds))


@then("each of its {count:d} tasks was started once, the first step first")
def started_once(context: Context, count: int) -> None:
    started = [
        task
        for worker in context.deployment.workers
        for task, _ in worker.started
    ]
    assert len(started) == len(set(started)) == count, started


@when("each entry and each agent is stopped {times:d} times during a wake-up")
def stop_at_wake_up(context: Context, times: int) -> None:
    async def stop_all() -> list[asyncio.Task[None]]:
        deployment = context.deployment
        parts = [*deployment.entries, *deployment.agents]
        left = []
        for _ in range(times):
            for part in parts:
                loop = (
                    part._run_rounds()
                    if isinstance(part, CellEntryProcess)
                    else part._run()
                )
                task = asyncio.ensure_future(loop)
                await asyncio.sleep(0.001)
                # Wake up and cancel in the same iteration of the event loop.
                part._wake.set()
                task.cancel()
                await asyncio.sleep(0)
                left.append(task)
        await asyncio.wait(left, timeout=1.0)
        return [task for task in left if not task.done()]

    context.left = run(context, stop_all())


@then("none of their loops keeps running")
def no_loop_running(context: Context) -> None:
    stuck = len(context.left)
    for task in context.left:
        task.cancel()
    assert not stuck, stuck
