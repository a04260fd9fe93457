"""An entry's state at a given load and sample messages for benches."""

from __future__ import annotations

import random

from yuccapoint.connection.messages import AgentReport
from yuccapoint.connection.messages import EndpointReport
from yuccapoint.connection.messages import TaskReport
from yuccapoint.job.batch_leader import BatchLeader
from yuccapoint.job.job import Job
from yuccapoint.job.records import EntryRenewed
from yuccapoint.job.records import JobClaimed
from yuccapoint.job.records import JobSubmitted
from yuccapoint.job.records import PoolEdited
from yuccapoint.job.records import VmAdopted
from yuccapoint.job.size import Size
from yuccapoint.process.cell_state import CellState
from yuccapoint.request.router import Router
from yuccapoint.version.pool import Pool

ENTRY_ID = "entry-1@1"
POOL_NAME = "bulletin-desk"
SERVICE_NAME = "quotes"
VM_CAPACITY = Size(64_000, 250 << 30, 4)
JOB_SIZE = Size(500, 1 << 30, 0)
# Far in the future, so that the entry stays leader during a measurement.
RENEWAL_SENT_AT_S = 1e9


class LoadedEntry:
    """The decision logic of an entry that holds VMs and jobs.

    Parameters
    ----------
    vms : int
        VMs that the entry leads.
    running, queued : int
        Jobs in the state that is built from the log.
    """

    def __init__(self, vms: int, running: int, queued: int) -> None:
        self.vms = vms
        self.cell = CellState()
        self.cell.tables.apply(
            PoolEdited(POOL_NAME, 0, "first", "bench", Pool(name=POOL_NAME)), 0
        )
        self.leader = BatchLeader(
            ENTRY_ID, self.cell.board, self.cell.tables.pool, random.Random(1)
        )
        self.leader.on_renewal_acked(RENEWAL_SENT_AT_S)
        self.router = Router("dc-0", "region-0", random.Random(1))
        self._apply_records(running, queued)

    def _apply_records(self, running: int, queued: int) -> None:
        board = self.cell.board
        board.apply(EntryRenewed(ENTRY_ID), 0)
        for index in range(self.vms):
            board.apply(VmAdopted(f"vm-{index}", 1, ENTRY_ID, POOL_NAME), 0)
        for index in range(running + queued):
            board.apply(JobSubmitted(sample_job(index)), 0)
            if index >= running:
                continue
            vm = f"vm-{index % self.vms}"
            board.apply(
                JobClaimed(f"job-{index}", 1, vm, 1, ENTRY_ID, "bench"), 0
            )


def sample_job(index: int) -> Job:
    """Return a job like those of the deployments."""
    return Job(
        job_id=f"job-{index}",
        team=f"team-{index % 800}",
        customer=f"customer-{index % 2000}",
        job_class=f"class-{index % 40}",
        pool=POOL_NAME,
        size=JOB_SIZE,
        run_time_s=60.0,
        command="run_s=60",
    )


def sample_report(vm: int, sequence: int, tasks: list[int]) -> AgentReport:
    """Return a report of a VM with three endpoints and some tasks."""
    committed = Size(
        JOB_SIZE.millicores * len(tasks), JOB_SIZE.memory_bytes * len(tasks)
    )
    return AgentReport(
        vm=f"vm-{vm}",
        incarnation=1,
        sequence=sequence,
        term=1,
        requested_leader="",
        leader=ENTRY_ID,
        pool=POOL_NAME,
        data_centre=f"dc-{vm % 3}",
        region="region-0",
        rack=f"rack-{vm // 40}",
        control_address=f"10.0.{vm // 250}.{vm % 250}:7201",
        session_address=f"10.0.{vm // 250}.{vm % 250}:7202",
        capacity=VM_CAPACITY,
        free=VM_CAPACITY - committed,
        ready=True,
        stopping=False,
        tables_version=1,
        endpoints=[
            EndpointReport(
                f"quotes-{vm}-{number}", SERVICE_NAME, "ready", 8, 2, 0
            )
            for number in range(3)
        ],
        tasks=[TaskReport(f"job-{index}", 1, "", "", "") for index in tasks],
    )
