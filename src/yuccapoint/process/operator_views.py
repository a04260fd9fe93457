"""Views of an entry's state for operators."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from yuccapoint.job.job_entry import JobState
from yuccapoint.process.operator_messages import EndpointStatus
from yuccapoint.process.operator_messages import EntryStatus
from yuccapoint.process.operator_messages import JobStepView
from yuccapoint.process.operator_messages import JobView
from yuccapoint.process.operator_messages import PoolView
from yuccapoint.process.operator_messages import RouteView
from yuccapoint.process.operator_messages import Status
from yuccapoint.process.operator_messages import TablesView
from yuccapoint.process.operator_messages import VmStatus

if TYPE_CHECKING:
    from yuccapoint.job.job import Job
    from yuccapoint.job.job_entry import JobEntry
    from yuccapoint.process.entry_process import EntryProcess

FORBIDDEN_ID_CHARACTERS = "/ \t\r\n?#%"


def tables_view(entry: EntryProcess) -> TablesView:
    """Return the view of both tables."""
    tables = entry.cell.tables
    return TablesView(
        tables.version,
        [
            RouteView(r.row, r.version, r.operator)
            for r in tables.routes.values()
        ],
        [
            PoolView(p.row, p.version, p.operator)
            for p in tables.pools.values()
        ],
    )


def job_view(entry: JobEntry) -> JobView:
    """Return the view of a job."""
    return JobView(
        entry.job.job_id,
        entry.job.team,
        entry.job.customer,
        entry.state.value,
        entry.attempt,
        entry.vm,
        entry.job.urgent,
        entry.checkpoint,
        [JobStepView(step.at_ms, step.text) for step in entry.steps],
    )


def find_job_fault(entry: EntryProcess, job: Job) -> str:
    """Return why a job is invalid; empty if it is valid."""
    if not job.job_id or any(c in FORBIDDEN_ID_CHARACTERS for c in job.job_id):
        return "a job needs an id without whitespace and / ? # %"
    if not job.size.valid or job.size.millicores == 0:
        return "a job needs at least 1 millicore and no negative size"
    if job.pool not in entry.cell.tables.pools:
        return f"there is no pool {job.pool!r}"
    return ""


def explain_state(entry: EntryProcess, job: JobEntry) -> str:
    """Explain a job's state in one sentence."""
    if job.state is not JobState.QUEUED:
        return job.steps[-1].text
    pool = entry.cell.tables.pool(job.job.pool)
    if pool is None:
        return f"queued: there is no pool {job.job.pool}"
    left = entry.cell.board.quota_left(pool, job.job.team)
    if left < job.job.size.millicores:
        return (
            f"queued: team {job.job.team} has {left} millicores of quota left "
            f"and the job needs {job.job.size.millicores}"
        )
    views = [v for v in entry.leader.views.values() if v.pool == pool.name]
    room = sum(job.job.size.fits(view.free) for view in views)
    return f"queued: {room} of {len(views)} known VMs have enough capacity now"


def status(entry: EntryProcess) -> Status:
    """Return the status of the system as known to an entry."""
    now_s = time.monotonic()
    entries = [
        EntryStatus(
            heartbeat.entry,
            heartbeat.data_centre,
            heartbeat.tables_version,
            heartbeat.log_offset,
        )
        for heartbeat in entry.directory.live_entries(now_s)
    ]
    endpoints = [
        EndpointStatus(
            view.key,
            view.service,
            view.state.value,
            round(view.load(now_s), 3),
            round(view.failure_rate, 3),
        )
        for view in entry.router.views.values()
    ]
    return Status(
        entry.entry_id,
        entry.cell.tables.version,
        entry.cell.next_offset,
        entry.log_fault,
        round(entry.leader.leadership_deadline_s - now_s, 1),
        entry.in_flight,
        len(entry.cell.board.queued),
        entries,
        _vms(entry, now_s),
        endpoints,
    )


def _vms(entry: EntryProcess, now_s: float) -> list[VmStatus]:
    rows = []
    for view in entry.leader.views.values():
        leadership = entry.cell.board.vms.get(view.vm)
        rows.append(
            VmStatus(
                view.vm,
                view.pool,
                leadership.entry if leadership else "",
                leadership.term if leadership else 0,
                entry.agent_versions.get(view.vm, 0),
                view.free.millicores,
                len(leadership.job_ids) if leadership else 0,
                round(now_s - view.reported_at_s, 1),
            )
        )
    return rows
