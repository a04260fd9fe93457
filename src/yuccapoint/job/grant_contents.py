"""What a lease grant tells an agent about its tasks."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.connection.messages import AttemptAcknowledged
from yuccapoint.connection.messages import LeaseGrant
from yuccapoint.connection.messages import StartAttempt
from yuccapoint.connection.messages import StopAttempt
from yuccapoint.job.job_entry import JobState
from yuccapoint.job.records import JobFinished
from yuccapoint.job.records import JobReleased

if TYPE_CHECKING:
    from yuccapoint.connection.messages import AgentReport
    from yuccapoint.connection.messages import TaskReport
    from yuccapoint.job.job_board import JobBoard
    from yuccapoint.job.job_entry import JobEntry
    from yuccapoint.job.records import JobClaimed
    from yuccapoint.job.vm_leadership import VmLeadership


def is_current(board: JobBoard, task: TaskReport) -> bool:
    """Return whether a task is the job's running attempt."""
    entry = board.jobs.get(task.job_id)
    if entry is None or entry.state is not JobState.RUNNING:
        return False
    return entry.attempt == task.attempt


def due_starts(
    board: JobBoard, report: AgentReport, leadership: VmLeadership
) -> list[StartAttempt]:
    """Return the claimed attempts that a VM has room for and not started."""
    reported = {task.job_id: task.attempt for task in report.tasks}
    starts = []
    available = report.free
    for job_id in sorted(leadership.job_ids):
        entry = board.jobs[job_id]
        if reported.get(job_id, 0) >= entry.attempt:
            continue
        if not entry.job.size.fits(available):
            continue
        available = available - entry.job.size
        starts.append(
            StartAttempt(
                entry.job, entry.attempt, entry.checkpoint, entry.term
            )
        )
    return starts


def due_stops(board: JobBoard, report: AgentReport) -> list[StopAttempt]:
    """Return the reported attempts that are superseded or cancelled."""
    stops = []
    for task in report.tasks:
        if task.outcome:
            continue
        if not is_current(board, task):
            stops.append(StopAttempt(task.job_id, task.attempt, "superseded"))
            continue
        if board.jobs[task.job_id].cancelling:
            stops.append(StopAttempt(task.job_id, task.attempt, "cancelled"))
    return stops


def acknowledgements(
    board: JobBoard, report: AgentReport
) -> list[AttemptAcknowledged]:
    """Return the reported ends that the log has."""
    return [
        AttemptAcknowledged(task.job_id, task.attempt)
        for task in report.tasks
        if task.outcome and not is_current(board, task)
    ]


def start_grant(
    leader: str, record: JobClaimed, entry: JobEntry, report_sequence: int
) -> LeaseGrant:
    """Return a message that starts a claimed attempt and grants no lease.

    Parameters
    ----------
    leader : str
        The leading entry.
    record : JobClaimed
        The claim.
    entry : JobEntry
        The claimed job.
    report_sequence : int
        The VM's newest report.
    """
    start = StartAttempt(
        entry.job, entry.attempt, entry.checkpoint, entry.term
    )
    return LeaseGrant(
        entry=leader,
        vm=record.vm,
        term=record.term,
        reply_to=report_sequence,
        ttl_s=0.0,
        starts=[start],
        stops=[],
        acknowledged=[],
    )


def end_record(
    task: TaskReport, report: AgentReport
) -> JobFinished | JobReleased:
    """Return the record of an attempt that an agent reports as ended."""
    if task.outcome == "done":
        return JobFinished(task.job_id, task.attempt, report.term)
    return JobReleased(
        task.job_id,
        task.attempt,
        report.term,
        f"{task.outcome} on {report.vm}: {task.reason}",
        task.checkpoint,
        task.outcome == "failed",
    )
