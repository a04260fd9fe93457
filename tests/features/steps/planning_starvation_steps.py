from __future__ import annotations

from typing import TYPE_CHECKING

from behave import given
from behave import then
from cell_leader_steps import add_job

from yuccapoint.cell.step_spec import StepSpec
from yuccapoint.job.size import Size

if TYPE_CHECKING:
    from behave.runner import Context

LASTING_JOB = "e" * 16


@given("a long-running job of {tasks:d} {kind} of {cpu:d} processors waits")
def lasting_job(context: Context, tasks: int, kind: str, cpu: int) -> None:
    size = Size(cpu * 1_000, 2**20, 0)
    step = StepSpec(tasks, size, 1_000, long_running=True)
    add_job(context.leader, LASTING_JOB, step)
    if kind == "suspects":
        for task in context.leader.jobs[LASTING_JOB].occurrences[0].tasks:
            task.crashes.note_crash(1, started=True)
            assert task.is_suspect


@then("the {count:d} most urgent jobs have been claimed")
def urgent_claimed(context: Context, count: int) -> None:
    claimed = [task for claims in context.claims for task in claims]
    jobs = [task.partition(".")[0] for task in claimed]
    assert jobs == context.jobs[:count], jobs
