from __future__ import annotations

from typing import TYPE_CHECKING

from behave import then
from behave import when
from cell_leader_steps import deliver_report
from cell_leader_steps import report
from cell_leader_steps import WALL_MS

from yuccapoint.cell import cell_records
from yuccapoint.cell.cell_messages import EndedRun
from yuccapoint.cell.cell_messages import RunningTask
from yuccapoint.cell.cell_view import CellView

if TYPE_CHECKING:
    from behave.runner import Context


def _report_and_store(context: Context, vm: str, **changes) -> None:
    deliver_report(
        context.leader, report(vm, 50, **changes), context.now_s + 1.5
    )
    # Past the interval at which progress is written.
    context.now_s += 1.5
    context.leader.tick(context.now_s, WALL_MS)


@when('"{vm}" lists a run of the job')
def lists_run(context: Context, vm: str) -> None:
    task = next(iter(context.leader.vms[vm].claims.values()))
    running = (RunningTask(task.task_id, task.run, "", 0, 0.0),)
    _report_and_store(context, vm, running=running)


@when('"{vm}" lists its runs as lapsed')
def lists_lapsed(context: Context, vm: str) -> None:
    claims = context.leader.vms[vm].claims.values()
    ends = tuple(
        EndedRun(number, task.task_id, task.run, "lapsed", "")
        for number, task in enumerate(claims, 1)
    )
    _report_and_store(context, vm, ends=ends)


@when("a reader loads the stored records")
def load_records(context: Context) -> None:
    view = CellView()
    for job in context.leader.jobs.values():
        submission = job.submission
        view.apply(cell_records.SUBMISSION + submission.job_id, submission, 0)
        for number, occurrence in job.occurrences.items():
            key = cell_records.progress_key(submission.job_id, number)
            stored = cell_records.encode(occurrence.snapshot())
            view.apply(key, cell_records.decode(key, stored), 1)
    context.view = view


@then("it shows the job as pending")
def shown_pending(context: Context) -> None:
    assert context.view.count_pending("route") == 1


@then("it shows the job as running")
def shown_running(context: Context) -> None:
    assert context.view.count_pending("route") == 0
