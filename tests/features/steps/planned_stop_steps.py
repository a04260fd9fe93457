from __future__ import annotations

import asyncio
import contextlib
import io
import os
import signal
import time
from typing import TYPE_CHECKING

from behave import then
from behave import when
from tornado.httpclient import AsyncHTTPClient

from yuccapoint.console import run_process
from yuccapoint.job.job import Job
from yuccapoint.job.job_entry import JobState
from yuccapoint.job.records import JobSubmitted
from yuccapoint.job.size import Size

if TYPE_CHECKING:
    from behave.runner import Context

    from yuccapoint.process.entry_process import EntryProcess

LOAD_S = 4.0
RATE_PER_S = 60.0
NO_WORK_AFTER_S = 3.0


class Stop:
    """A planned stop in progress, and the work that started late."""

    def __init__(self, context: Context) -> None:
        self.context = context
        self.cut: list[str] = []
        self.late = 0

    async def run(self, role: str) -> None:
        deployment = self.context.deployment
        began_s = time.monotonic()
        if role == "entry":
            entry = deployment.entries[-1]
            stopping = asyncio.ensure_future(entry.stop())
            # The load balancer stops sending to an entry that is not ready.
            await asyncio.sleep(1.0)
            deployment.entries.remove(entry)
            counted = entry.next_request_id
        elif role == "agent":
            machine = deployment.vms[0]
            stopping = asyncio.ensure_future(machine.agent.stop())
            counted = machine.endpoint
        else:
            machine = deployment.vms[0]
            await machine.endpoint.leave()
            stopping = asyncio.ensure_future(asyncio.sleep(0, []))
            counted = machine.endpoint
        left_s = began_s + NO_WORK_AFTER_S - time.monotonic()
        await asyncio.sleep(left_s)
        if role == "entry":
            before = entry.in_flight
            await asyncio.sleep(0.5)
            self.late = max(0, entry.in_flight - before)
        else:
            before = sum(counted.runs.values())
            await asyncio.sleep(0.5)
            self.late = sum(counted.runs.values()) - before
        self.cut = await stopping


@when("a {role} is stopped as planned under load")
def stop_under_load(context: Context, role: str) -> None:
    context.stop = Stop(context)
    routes = context.deployment.entries[0].cell.tables.current.routes.values()

    async def run() -> None:
        until_s = time.monotonic() + LOAD_S
        loads = [
            context.load.run(
                route.prefix,
                RATE_PER_S / len(routes),
                until_s,
                idempotent=route.idempotent,
            )
            for route in routes
        ]
        await asyncio.gather(context.stop.run(role), *loads)

    context.loop.run_until_complete(run())


@then("the planned stop aborted nothing and each request was answered")
def cut_nothing(context: Context) -> None:
    load = context.load
    assert context.stop.cut == [], context.stop.cut
    assert load.answered == load.sent, (
        load.sent,
        load.answered,
        len(load.not_run),
        load.unknown,
    )


@then("no work started at the stopped member 3 s after the stop began")
def no_late_work(context: Context) -> None:
    assert context.stop.late == 0, context.stop.late


@when("an agent that runs {count:d} tasks is stopped as planned")
def stop_with_tasks(context: Context, count: int) -> None:
    deployment = context.deployment
    board = deployment.entries[0].cell.board

    async def run() -> None:
        for number in range(2 * count):
            job = Job(
                job_id=f"task-{number}",
                team="transcripts",
                customer="c",
                job_class="k",
                pool=deployment.spec.pool,
                size=Size(1000, 1 << 20, 0),
                run_time_s=2.0,
                command="run_s=2",
            )
            await deployment.entries[0].commits.commit(
                JobSubmitted(job), time.monotonic(), 5.0
            )
        while True:
            await asyncio.sleep(0.05)
            machine = max(
                deployment.vms, key=lambda m: len(m.worker.model.tasks)
            )
            tasks = [m.worker.model.tasks for m in deployment.vms]
            if sum(map(len, tasks)) == 2 * count:
                break
        context.moved = sorted(machine.worker.model.tasks)
        context.stopped_vm = machine.agent.name
        context.cut = await machine.agent.stop()
        context.open_attempts = [
            job_id
            for job_id in context.moved
            if board.jobs[job_id].vm == context.stopped_vm
            and board.jobs[job_id].state is JobState.RUNNING
        ]
        deadline_s = time.monotonic() + 10.0
        while time.monotonic() < deadline_s:
            if all(board.jobs[j].state.final for j in context.moved):
                return
            await asyncio.sleep(0.05)

    context.loop.run_until_complete(run())


@then("no attempt at the stopped agent is open in the log")
def none_open(context: Context) -> None:
    assert context.moved and context.cut == [], context.cut
    assert context.open_attempts == []


@then("each of the {count:d} tasks resumed from its checkpoint elsewhere")
def resumed(context: Context, count: int) -> None:
    board = context.deployment.entries[0].cell.board
    for job_id in context.moved:
        entry = board.jobs[job_id]
        steps = [step.text for step in entry.steps]
        assert entry.state is JobState.DONE, steps
        assert entry.resumes == 1 and entry.checkpoint, steps


@when("an entry with a request of 3 s receives two stop signals")
def stop_twice(context: Context) -> None:
    entry = context.deployment.entries[0]
    context.stderr = io.StringIO()

    class Started:
        """Replaces the process that the command line would start."""

        def __init__(self, settings: EntryProcess) -> None:
            self.stop = settings.stop
            self.kill = settings.kill
            self.unfinished = settings.unfinished

        def start(self) -> None:
            """Start nothing: the deployment has started the entry."""

    async def run() -> int:
        client = AsyncHTTPClient(force_instance=True)
        address = entry.settings.listen.caller_address
        route = next(iter(entry.cell.tables.current.routes.values()))
        request = client.fetch(
            f"http://{address}{route.prefix}/slow",
            headers={"X-Work-S": "3"},
            raise_error=False,
        )
        loop = asyncio.get_running_loop()
        loop.call_later(0.5, os.kill, os.getpid(), signal.SIGTERM)
        loop.call_later(0.8, os.kill, os.getpid(), signal.SIGTERM)
        with contextlib.redirect_stderr(context.stderr):
            code = await run_process._run(Started, entry)
        with contextlib.suppress(Exception):
            await request
        client.close()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.remove_signal_handler(number)
        return code

    context.code = context.loop.run_until_complete(run())


@then('the process exits with code {code:d} and prints "{text}"')
def process_ends(context: Context, code: int, text: str) -> None:
    assert context.code == code, (context.code, context.stderr.getvalue())
    assert text in context.stderr.getvalue(), context.stderr.getvalue()
