"""Cost for a new entry to rebuild a large state from the log."""

from __future__ import annotations

import gc
import pathlib
import random
import time

from yuccapoint.bench.batch_workload import make_job
from yuccapoint.bench.batch_workload import make_pool
from yuccapoint.bench.batch_workload import POOL
from yuccapoint.connection.log_writer import LogWriter
from yuccapoint.job.records import EntryRenewed
from yuccapoint.job.records import JobClaimed
from yuccapoint.job.records import JobSubmitted
from yuccapoint.job.records import PoolEdited
from yuccapoint.job.records import VmAdopted
from yuccapoint.process.cell_state import CellState

VM_COUNT = 23_000
RUNNING_JOBS = 170_000
QUEUED_JOBS = 100_000
ENTRY = "entry@1"
PAGE_BYTES = 4_096


def measure_rebuild(seed: int) -> tuple[float, int]:
    """Apply a log of the target size.

    Returns
    -------
    tuple of float and int
        Processor time in seconds and growth of the resident set in bytes.
    """
    appends = _make_log(seed)
    gc.collect()
    before_bytes = _resident_bytes()
    cell = CellState()
    started_s = time.process_time()
    for offset, data in enumerate(appends):
        cell.apply(offset, 1_800_000_000_000 + offset, data)
    duration_s = time.process_time() - started_s
    if len(cell.board.queued) != QUEUED_JOBS:
        raise AssertionError(
            "the rebuilt queue differs from the queue in the log"
        )
    return duration_s, _resident_bytes() - before_bytes


def _make_log(seed: int) -> list[bytes]:
    rng = random.Random(seed)
    writer = LogWriter("loader@1")
    appends: list[bytes] = []
    writer.add(PoolEdited(POOL, 0, "e", "bench", make_pool("spread")), 0.0)
    writer.add(EntryRenewed(ENTRY), 0.0)
    _flush(writer, appends)
    for number in range(VM_COUNT):
        record = VmAdopted(f"vm-{number}", 1, ENTRY, POOL)
        writer.add(record, 0.0, bounded=False)
    _flush(writer, appends)
    for number in range(RUNNING_JOBS + QUEUED_JOBS):
        submission = JobSubmitted(make_job(number, rng))
        writer.add(submission, 0.0, bounded=False)
    _flush(writer, appends)
    for number in range(RUNNING_JOBS):
        vm = f"vm-{number % VM_COUNT}"
        reason = "spread chose it of 12 VMs with room"
        claim = JobClaimed(f"job-{number}", 1, vm, 1, ENTRY, reason)
        writer.add(claim, 0.0, bounded=False)
    _flush(writer, appends)
    return appends


def _flush(writer: LogWriter, appends: list[bytes]) -> None:
    while True:
        data = writer.next_append(1.0)
        if data is None:
            return
        appends.append(data)
        writer.on_appended(writer.sequence)
        writer.pop_batch(writer.sequence)


def _resident_bytes() -> int:
    text = pathlib.Path("/proc/self/statm").read_text("ascii")
    return int(text.split()[1]) * PAGE_BYTES
