from __future__ import annotations

import asyncio
import os
import time
from typing import TYPE_CHECKING
from unittest import mock

from behave import given
from behave import then
from behave import when

from yuccapoint.cell.cell_leader import CellLeader
from yuccapoint.cell.vm_agent import VmAgent
from yuccapoint.cell.worker_events import CheckIn
from yuccapoint.cell.worker_events import WorkerStatus
from yuccapoint.process.log_output import LogOutput

if TYPE_CHECKING:
    from behave.runner import Context

from yuccapoint.cell.cell_records import Member
from yuccapoint.cell.occurrence_state import WorkerInstance
from yuccapoint.job.size import Size

VM = "vm-0"
NS_PER_S = 1_000_000_000
HOUR_S = 3_600.0


def _start_agent(context: Context, started_s: int) -> None:
    context.vm_agent = VmAgent(VM, VM, started_s * NS_PER_S, context.now_s)
    context.vm_agent.on_check_in(
        CheckIn(
            instance=WorkerInstance(VM, "i-0", 1),
            pool="pool",
            address="worker",
            capacity=Size(8_000, 2**35, 0),
            labels=(),
            draining=False,
            remaining_ms=0,
            clock_ms=int(1000 * context.now_s),
            sequence=int(context.now_s),
        ),
        context.now_s,
    )


def _probe(context: Context) -> None:
    context.now_s += 1.0
    [(_, orders)] = context.leader.collect_orders(
        context.now_s, may_grant=True
    )
    context.vm_agent.on_orders(orders, context.now_s)


def _report(context: Context) -> None:
    request = context.vm_agent.next_status_request()
    status = WorkerStatus(
        clock_ms=int(1000 * context.now_s), born_ms=1, running=(), ends=()
    )
    context.vm_agent.on_status(request, status, context.now_s, context.now_s)
    message = context.vm_agent.build_report(context.now_s)
    context.leader.on_report(message, context.now_s)


@given("a leader that follows an agent started at {started_s:d} s")
def followed_agent(context: Context, started_s: int) -> None:
    context.now_s = 100.0
    context.leader = CellLeader("e-0", "e-0", 1, 0.0)
    context.leader.on_member(Member(VM, VM, 1))
    _start_agent(context, started_s)
    _probe(context)
    _report(context)
    _probe(context)
    assert context.vm_agent.lease.until_s > context.now_s
    context.delayed = context.vm_agent.build_report(context.now_s)


@when("the agent restarts at {started_s:d} s by the time of day")
def restart_agent(context: Context, started_s: int) -> None:
    context.now_s += 1.0
    _start_agent(context, started_s)


@when("the leader probes it")
def probe(context: Context) -> None:
    _probe(context)


@when("the leader probes it and the agent reports")
def probe_and_report(context: Context) -> None:
    _probe(context)
    _report(context)


@when("a delayed report of the former agent arrives")
def deliver_delayed(context: Context) -> None:
    context.heard_at_s = context.leader.vms[VM].heard_at_s
    context.leader.on_report(context.delayed, context.now_s + 0.5)


@then("the leader applies the report and the agent gets a lease")
def applied(context: Context) -> None:
    assert context.leader.vms[VM].heard_at_s == context.now_s
    _probe(context)
    assert context.vm_agent.lease.until_s > context.now_s


@then("the agent has no lease")
def no_lease(context: Context) -> None:
    assert not context.vm_agent.lease.until_s, context.vm_agent.lease.until_s


@then("it is ignored")
def ignored(context: Context) -> None:
    assert context.leader.vms[VM].heard_at_s == context.heard_at_s


@given("a log output")
def log_output(context: Context) -> None:
    context.reader, writer = os.pipe()
    os.set_blocking(context.reader, False)
    context.log_output = LogOutput(writer)
    context.cleanups.append(lambda: os.close(context.reader))
    context.cleanups.append(lambda: os.close(writer))


@when("the time of day is set back by an hour and a line is logged")
def set_back(context: Context) -> None:
    real_time = time.time

    async def play() -> None:
        context.log_output.start()
        await asyncio.sleep(0.25)
        with mock.patch("time.time", lambda: real_time() - HOUR_S):
            # A flush that is due now schedules the next one by this time.
            await asyncio.sleep(0.25)
            context.log_output.write({"message_type": "line"})
            await asyncio.sleep(0.75)
        context.written = b""
        try:
            context.written = os.read(context.reader, 65_536)
        except BlockingIOError:
            context.written = b""
        context.log_output.stop()

    context.loop.run_until_complete(play())


@then("the line is written within a second")
def written(context: Context) -> None:
    assert b"line" in context.written, context.written
