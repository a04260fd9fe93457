from __future__ import annotations

import asyncio
import pathlib
import signal
import sys
import tempfile
import time
from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when
import msgspec
from tornado.httputil import HTTPHeaders
from tornado.httputil import HTTPServerRequest
from tornado.httputil import RequestStartLine

sys.path.append(str(pathlib.Path(__file__).parents[2]))

from soak import soak_worker  # noqa: E402
from soak.oracle import Oracle  # noqa: E402
from soak.oracle import PENDING_DELAY_S  # noqa: E402
from soak.oracle import VISIBILITY_TIMEOUT_S  # noqa: E402
from soak.seed_run import run_seed  # noqa: E402
from soak.soak_job import SoakJob  # noqa: E402
from soak.soak_worker import SoakWorker  # noqa: E402
from soak.world import FRONT_PORT  # noqa: E402
from soak.world import ROUTE_HOST  # noqa: E402
from soak.world import STOP_GRACE_S  # noqa: E402
from soak.world import World  # noqa: E402

if TYPE_CHECKING:
    from behave.runner import Context

# The platform opens no new connections after two failed ready checks.
ROTATION_DELAY_S = 2.2
CALL_INTERVAL_S = 0.004


@given("real entries and agents behind proxies")
def start_world(context: Context) -> None:
    scratch = tempfile.TemporaryDirectory()
    context.cleanups.append(scratch.cleanup)
    context.world = World(pathlib.Path(scratch.name), 1, entries=2, vms=1)
    context.cleanups.append(
        lambda: context.loop.run_until_complete(context.world.close())
    )
    context.loop.run_until_complete(context.world.start())


async def _call_once(world: World, entry: str) -> bool:
    """Return whether a request on a new connection gets a response.

    A refused connection counts as answered, as it was not accepted.
    """
    try:
        reader, writer = await asyncio.open_connection(
            world.ip(entry), FRONT_PORT
        )
    except ConnectionRefusedError:
        return True
    try:
        writer.write(
            f"GET /q/ HTTP/1.1\r\nHost: {ROUTE_HOST}\r\n\r\n".encode()
        )
        line = await asyncio.wait_for(reader.readline(), 5)
        return line.startswith(b"HTTP/1.1 ")
    except OSError:
        return False
    finally:
        writer.transport.abort()


@when("an entry is stopped as planned while callers open new connections")
def stop_under_calls(context: Context) -> None:
    world = context.world

    async def run() -> None:
        calls = []
        began_s = time.monotonic()
        stopped_s = began_s + 0.3
        signalled = False
        while time.monotonic() < stopped_s + ROTATION_DELAY_S:
            if not signalled and time.monotonic() > stopped_s:
                signalled = True
                world.signal("entry-0", signal.SIGTERM)
            calls.append(asyncio.ensure_future(_call_once(world, "entry-0")))
            await asyncio.sleep(CALL_INTERVAL_S)
        context.answered = await asyncio.gather(*calls)
        while world.alive("entry-0"):
            await asyncio.sleep(0.05)
            assert time.monotonic() < stopped_s + 30
        context.stop_s = time.monotonic() - stopped_s

    context.loop.run_until_complete(run())


@then("each caller with an accepted connection got a response")
def all_answered(context: Context) -> None:
    cut = context.answered.count(False)
    assert not cut, f"{cut} of {len(context.answered)} got no response"


@then("the entry exits within the time that the platform grants")
def exits_in_time(context: Context) -> None:
    assert context.stop_s < STOP_GRACE_S, context.stop_s


@when("the soak runs seed {seed:d} for {seconds:d} s")
def run_soak_seed(context: Context, seed: int, seconds: int) -> None:
    with tempfile.TemporaryDirectory() as scratch:
        context.report = context.loop.run_until_complete(
            run_seed(seed, pathlib.Path(scratch), seconds, entries=3, vms=4)
        )


@when(
    'the soak runs seed {seed:d} for {seconds:d} s with the faults "{faults}"'
)
def run_soak_faults(
    context: Context, seed: int, seconds: int, faults: str
) -> None:
    chosen = tuple(faults.split(" and "))
    with tempfile.TemporaryDirectory() as scratch:
        context.report = context.loop.run_until_complete(
            run_seed(seed, pathlib.Path(scratch), seconds, 3, 4, chosen)
        )


@then("no guarantee is violated and tasks were started")
def no_violation(context: Context) -> None:
    assert not context.report.violations, context.report.violations
    assert context.report.starts > 0


@given("a soak job with two steps of one task each that was {how}")
def soak_job(context: Context, how: str) -> None:
    context.oracle = Oracle()
    context.soak_job = SoakJob("a" * 16, "payload", [1, 1])
    context.oracle.jobs["a" * 16] = context.soak_job
    if how == "accepted":
        age_s = VISIBILITY_TIMEOUT_S + PENDING_DELAY_S + 1
        context.soak_job.accepted_at_s = time.monotonic() - age_s


@when('workers and callers see "{events}"')
def replay_events(context: Context, events: str) -> None:
    workers = {"a": object(), "b": object()}
    oracle, job = context.oracle, context.soak_job
    for event in events.split(", "):
        what, detail, *rest = event.split()
        if what == "reported":
            status = 410 if detail == "unknown" else 200
            state = "" if detail == "unknown" else detail
            oracle.on_state(job, "entry", status, state)
            continue
        if what == "counted":
            oracle.on_pending(oracle.waiting_jobs(), "entry", int(detail))
            continue
        if what == "closed":
            oracle.on_close("entry", float(detail))
            continue
        if what == "unreadable":
            oracle.on_unreadable(job.job_id, int(detail))
            continue
        step = detail.partition(".")[0]
        owner = job.job_id if step != "9" else "b" * 16
        task = f"{owner}.0.{step}.0"
        worker = workers[rest[1]]
        if what in ("done", "end"):
            oracle.on_end(task, worker, "done", (1, 1))
            if what == "done":
                oracle.on_acknowledged(worker, 1)
            continue
        if what == "seen":
            oracle.on_acknowledged(worker, int(detail))
            continue
        if what == "lapse":
            oracle.on_lapse(worker)
            continue
        if what == "crash":
            oracle.on_crash(worker, [])
            continue
        payload = "another" if "payload" in rest else "payload"
        oracle.on_start({"Task": task, "Run": 1, "Spec": payload}, worker)
    oracle.check_refusals()


@then('the soak oracle reports a violation of "{rule}"')
def violation_reported(context: Context, rule: str) -> None:
    rules = {line.partition(":")[0] for line in context.oracle.violations}
    assert rule in rules, context.oracle.violations


@then("the soak oracle reports no violation")
def no_violation_reported(context: Context) -> None:
    assert not context.oracle.violations, context.oracle.violations


def _idle_worker() -> SoakWorker:
    address = "127.0.0.1:1"
    return SoakWorker(Oracle(), "i-0", address, address, address, 1.0)


def _start_run(worker: SoakWorker, index: int, run: int = 1) -> None:
    body = {
        "Task": f"{'a' * 16}.0.0.{index}",
        "Run": run,
        "Spec": "payload",
        "DeadlineMs": 2**40,
    }
    # The lease that a served call would give.
    worker._lease_until_ms = body["DeadlineMs"]
    worker._start(body)


@given("a worker of the soak that ended a run and runs another")
def worker_with_runs(context: Context) -> None:
    context.worker = _idle_worker()
    for index in range(2):
        _start_run(context.worker, index)
    context.worker._end_task(f"{'a' * 16}.0.0.0", "done")


@given("a worker of the soak that gives no response to calls")
def worker_without_responses(context: Context) -> None:
    context.worker = _idle_worker()
    context.worker.late_share = 1.0
    delay_s = soak_worker.CALL_DELAY_S
    context.cleanups.append(
        lambda: setattr(soak_worker, "CALL_DELAY_S", delay_s)
    )
    soak_worker.CALL_DELAY_S = (0.1, 0.1)


@when("it is told that end {number:d} was seen, and restarts and ends a run")
def restart_before_late_call(context: Context, number: int) -> None:
    worker = context.worker
    worker._oracle.jobs["a" * 16] = SoakJob("a" * 16, "payload", [1])
    body = msgspec.json.encode({"FencingToken": 1, "LastSeen": number})
    start_line = RequestStartLine("POST", "/yuccapoint/hold", "HTTP/1.1")
    request = HTTPServerRequest(
        start_line=start_line,
        headers=HTTPHeaders({"Host": "127.0.0.1"}),
        body=body,
    )

    async def restart() -> None:
        await worker._serve(request)
        worker.restart()
        _start_run(worker, 0)
        worker._end_task(f"{'a' * 16}.0.0.0", "done")
        await asyncio.sleep(0.3)

    context.loop.run_until_complete(restart())


@then("the late call makes it forget the end, and the oracle knows it")
def late_call_forgets(context: Context) -> None:
    worker = context.worker
    assert not worker._ended_tasks, worker._ended_tasks
    _start_run(worker, 0, run=2)
    violations = worker._oracle.violations
    assert any(v.startswith("TWICE") for v in violations), violations


@when("it restarts without having crashed")
def restart_worker(context: Context) -> None:
    context.worker.restart()


@then("it lists no run and no end, and counts its ends from 1")
def knows_nothing(context: Context) -> None:
    worker = context.worker
    assert not worker._running_tasks, worker._running_tasks
    assert not worker._ended_tasks, worker._ended_tasks
    assert not worker._highest_closed_runs, worker._highest_closed_runs
    assert worker._last_end_number == 0, worker._last_end_number
