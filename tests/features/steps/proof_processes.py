from __future__ import annotations

import pathlib
import signal
import sys
import tempfile
from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when

sys.path.append(str(pathlib.Path(__file__).parents[2]))

from fuzzing.real_processes import RealWorld  # noqa: E402

if TYPE_CHECKING:
    from behave.runner import Context


@given("real processes of 2 entries and 2 agents")
def start_world(context: Context) -> None:
    directory = tempfile.TemporaryDirectory()
    context.cleanups.append(directory.cleanup)

    async def start() -> None:
        context.world = RealWorld(directory.name)
        context.cleanups.append(context.world.close)
        await context.world.start()

    context.loop.run_until_complete(start())


@when("a real job runs and entry 0 is killed")
def kill_entry(context: Context) -> None:
    world = context.world

    async def run() -> None:
        context.job_id = (await world.submit(0, "run_s=4")).job_id
        await world.wait_until(
            lambda: world.running_vm_index(context.job_id) >= 0
        )
        world.signal("entry-0", signal.SIGKILL)

    context.loop.run_until_complete(run())


@when(
    "the agent process on the VM of a real job is paused until the job moves"
)
def pause_agent(context: Context) -> None:
    world = context.world

    async def run() -> None:
        context.job_id = (await world.submit(0, "run_s=7")).job_id
        await world.wait_until(
            lambda: world.running_vm_index(context.job_id) >= 0
        )
        first_vm = world.running_vm_index(context.job_id)
        context.paused_agent = f"vm-{first_vm}"
        world.signal(context.paused_agent, signal.SIGSTOP)
        await world.wait_until(
            lambda: world.running_vm_index(context.job_id) == 1 - first_vm
        )

    context.loop.run_until_complete(run())


@when("the paused agent process resumes")
def resume_agent(context: Context) -> None:
    context.world.signal(context.paused_agent, signal.SIGCONT)


@when("the log goes down and entry 0 is killed and restarted")
def restart_without_log(context: Context) -> None:
    context.world.log.faults.down = True
    context.world.signal("entry-0", signal.SIGKILL)
    context.world.start_entry(0)


@when("the log recovers for the real processes")
def log_recovers(context: Context) -> None:
    context.world.log.faults.down = False


@then("the other entry process still answers")
def other_entry_answers(context: Context) -> None:
    world = context.world

    async def run() -> None:
        for _ in range(20):
            await world.wait_until(lambda: world.is_answered(1))

    context.loop.run_until_complete(run())


@then("the killed entry process recovers")
def entry_recovers(context: Context) -> None:
    world = context.world
    if world.processes["entry-0"].poll() is not None:
        world.start_entry(0)

    async def run() -> None:
        await world.wait_until(lambda: world.is_ready(0))
        await world.wait_until(lambda: world.is_answered(0))

    context.loop.run_until_complete(run())


@then("both entry processes report the real job as done")
def job_is_done(context: Context) -> None:
    world = context.world

    async def run() -> None:
        for index in range(2):
            await world.wait_until(
                lambda i=index: world.is_done(i, context.job_id)
            )

    context.loop.run_until_complete(run())


@then("another real job is accepted and completed")
def another_job_is_done(context: Context) -> None:
    world = context.world

    async def run() -> None:
        context.job_id = (await world.submit(0, "run_s=1")).job_id

    context.loop.run_until_complete(run())
    job_is_done(context)
