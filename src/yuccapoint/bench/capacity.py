"""``bench capacity``: how state, messages, time and memory grow."""

from __future__ import annotations

import functools
import gc
import time
import tracemalloc
from typing import TYPE_CHECKING

import msgspec

from yuccapoint.bench.loaded_entry import ENTRY_ID
from yuccapoint.bench.loaded_entry import LoadedEntry
from yuccapoint.bench.loaded_entry import sample_job
from yuccapoint.bench.loaded_entry import sample_report
from yuccapoint.bench.registry import bench
from yuccapoint.bench.slope import fit_line
from yuccapoint.bench.slope import Slope
from yuccapoint.connection.messages import AgentReport
from yuccapoint.connection.messages import LeaseGrant
from yuccapoint.job.records import AppendBatch
from yuccapoint.job.records import JobClaimed
from yuccapoint.job.records import JobFinished
from yuccapoint.job.records import JobSubmitted
from yuccapoint.job.task_manager import TaskManager

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccapoint.job.records import Record

VM_COUNTS = [200.0, 500.0, 1_000.0, 2_000.0]
JOB_COUNTS = [2_000.0, 5_000.0, 10_000.0, 20_000.0]
TASK_COUNTS = [0.0, 4.0, 8.0, 16.0]
JOBS_PER_BATCH = [1.0, 50.0, 200.0, 500.0]
TASKS_PER_VM = 8
REPORT_ROUNDS = 2_000
MEMORY_PAGE_BYTES = 4_096


class CapacityFigures(msgspec.Struct, frozen=True):
    """Slopes, each of a line fitted over several sizes."""

    deployment: str
    seed: int
    slopes: list[Slope]
    resident_bytes: int


@bench("capacity")
def measure_capacity(deployment: str, seed: int) -> CapacityFigures:
    """Measure the slopes that docs/CAPACITY.md is calculated from."""
    slopes = [
        _entry_bytes_by_vms(),
        _entry_bytes_by_jobs(queued=False),
        _entry_bytes_by_jobs(queued=True),
        _report_us_by_vms(),
        _tick_us_by_vms(),
        _apply_us_by_jobs(),
        _batch_bytes_by_jobs(),
        _report_bytes_by_tasks(),
        _agent_us_by_tasks(),
    ]
    for slope in slopes:
        _print_slope(slope)
    return CapacityFigures(deployment, seed, slopes, resident_bytes())


def resident_bytes() -> int:
    """Return the resident memory of this process."""
    with open("/proc/self/statm", encoding="ascii") as statm:
        return int(statm.read().split()[1]) * MEMORY_PAGE_BYTES


def _print_slope(slope: Slope) -> None:
    print(
        f"{slope.name}: {slope.intercept:.4g} + {slope.slope:.4g} per "
        f"{slope.per} (largest residual {slope.residual_share:.0%})"
    )


def _allocated_bytes(build: Callable[[], object]) -> float:
    gc.collect()
    tracemalloc.start()
    built = build()
    gc.collect()
    used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del built
    return float(used_bytes)


def _entry_after_reports(vms: int) -> LoadedEntry:
    entry = LoadedEntry(vms, 0, 0)
    for vm in range(vms):
        report = sample_report(vm, 1, [])
        entry.router.on_report(report, 1.0)
        entry.leader.on_report(report, 1.0)
    return entry


def _entry_bytes_by_vms() -> Slope:
    values = [
        _allocated_bytes(functools.partial(_entry_after_reports, int(size)))
        for size in VM_COUNTS
    ]
    return fit_line("entry_state_bytes", "VM led", VM_COUNTS, values)


def _entry_bytes_by_jobs(*, queued: bool) -> Slope:
    values = []
    for size in JOB_COUNTS:
        count = int(size)
        running_jobs = 0 if queued else count
        queued_jobs = count if queued else 0
        build = functools.partial(LoadedEntry, 100, running_jobs, queued_jobs)
        values.append(_allocated_bytes(build))
    kind = "queued job" if queued else "running job"
    return fit_line("entry_state_bytes", kind, JOB_COUNTS, values)


def _report_us_by_vms() -> Slope:
    values = []
    encoder = msgspec.msgpack.Encoder()
    decoder = msgspec.msgpack.Decoder(AgentReport)
    for size in VM_COUNTS:
        vms = int(size)
        entry = LoadedEntry(vms, vms * TASKS_PER_VM, 0)
        tasks_by_vm = [
            [vm + vms * number for number in range(TASKS_PER_VM)]
            for vm in range(vms)
        ]
        payloads = [
            encoder.encode(sample_report(vm, 1, tasks_by_vm[vm]))
            for vm in range(vms)
        ]
        started_s = time.process_time()
        for index in range(REPORT_ROUNDS):
            report = decoder.decode(payloads[index % vms])
            entry.router.on_report(report, 1.0)
            for action in entry.leader.on_report(report, 1.0):
                message = getattr(action, "message", None)
                if message is not None:
                    encoder.encode(message)
        elapsed_s = time.process_time() - started_s
        values.append(elapsed_s / REPORT_ROUNDS * 1e6)
    return fit_line("entry_report_us", "VM led", VM_COUNTS, values)


def _tick_us_by_vms() -> Slope:
    values = []
    for size in VM_COUNTS:
        entry = _entry_after_reports(int(size))
        entry.leader.tick(1.0, 0)
        started_s = time.process_time()
        for index in range(20):
            entry.leader.tick(1.05 + index * 0.05, 0)
        values.append((time.process_time() - started_s) / 20 * 1e6)
    return fit_line("entry_idle_tick_us", "VM led", VM_COUNTS, values)


def _job_records(index: int) -> list[Record]:
    name = f"job-{index}"
    return [
        JobSubmitted(sample_job(index)),
        JobClaimed(name, 1, f"vm-{index % 100}", 1, ENTRY_ID, "bench"),
        JobFinished(name, 1, 1),
    ]


def _apply_us_by_jobs() -> Slope:
    values = []
    for size in JOB_COUNTS:
        entry = LoadedEntry(100, 0, 0)
        encoder = msgspec.msgpack.Encoder()
        payloads = [
            encoder.encode(AppendBatch("w", index + 1, _job_records(index)))
            for index in range(int(size))
        ]
        started_s = time.process_time()
        for offset, data in enumerate(payloads):
            entry.cell.apply(offset, offset, data)
        values.append((time.process_time() - started_s) * 1e6)
    return fit_line(
        "entry_apply_us", "job's three records", JOB_COUNTS, values
    )


def _batch_bytes_by_jobs() -> Slope:
    encoder = msgspec.msgpack.Encoder()
    values = []
    for size in JOBS_PER_BATCH:
        records: list[Record] = []
        for index in range(int(size)):
            records.extend(_job_records(index))
        batch = AppendBatch(ENTRY_ID, 1, records)
        values.append(float(len(encoder.encode(batch))))
    return fit_line("log_bytes", "job's three records", JOBS_PER_BATCH, values)


def _report_bytes_by_tasks() -> Slope:
    encoder = msgspec.msgpack.Encoder()
    values = [
        float(len(encoder.encode(sample_report(1, 1, list(range(int(size)))))))
        for size in TASK_COUNTS
    ]
    return fit_line("agent_report_bytes", "task", TASK_COUNTS, values)


def _agent_us_by_tasks() -> Slope:
    values = []
    encoder = msgspec.msgpack.Encoder()
    for size in TASK_COUNTS:
        task_manager = TaskManager("vm-1", 1, sample_report(1, 1, []).capacity)
        task_manager.on_inventory([])
        started_s = time.process_time()
        for index in range(REPORT_ROUNDS):
            sequence = task_manager.next_sequence(float(index))
            tasks = list(range(int(size)))
            encoder.encode(sample_report(1, sequence, tasks))
            task_manager.on_grant(
                _empty_grant(task_manager, sequence), float(index)
            )
        elapsed_s = time.process_time() - started_s
        values.append(elapsed_s / REPORT_ROUNDS * 1e6)
    return fit_line("agent_report_us", "task", TASK_COUNTS, values)


def _empty_grant(task_manager: TaskManager, sequence: int) -> LeaseGrant:
    return LeaseGrant(
        entry=ENTRY_ID,
        vm="vm-1",
        term=task_manager.term,
        reply_to=sequence,
        ttl_s=5.0,
        starts=[],
        stops=[],
        acknowledged=[],
    )
