"""``bench capacity``: slopes of state, messages, time and memory."""

from __future__ import annotations

import functools
import gc
import time
import tracemalloc
from typing import TYPE_CHECKING

import msgspec

from yuccapoint.bench.capacity_parts import ENTRY
from yuccapoint.bench.capacity_parts import LoadedEntry
from yuccapoint.bench.capacity_parts import sample_job
from yuccapoint.bench.capacity_parts import sample_report
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

VM_SIZES = [200.0, 500.0, 1_000.0, 2_000.0]
JOB_SIZES = [2_000.0, 5_000.0, 10_000.0, 20_000.0]
TASK_SIZES = [0.0, 4.0, 8.0, 16.0]
RECORD_SIZES = [1.0, 50.0, 200.0, 500.0]
TASKS_PER_VM = 8
REPORT_ROUNDS = 2_000
PAGE_BYTES = 4_096


class CapacityFigures(msgspec.Struct, frozen=True):
    """All slopes; each is one straight line over several sizes."""

    deployment: str
    seed: int
    slopes: list[Slope]
    resident_bytes: int


@bench("capacity")
def measure_capacity(deployment: str, seed: int) -> CapacityFigures:
    """Measure the slopes from which docs/CAPACITY.md is worked out."""
    slopes = [
        _entry_bytes_by_vms(),
        _entry_bytes_by_jobs(queued=False),
        _entry_bytes_by_jobs(queued=True),
        _report_us_by_vms(),
        _tick_us_by_vms(),
        _apply_us_by_records(),
        _record_bytes(),
        _report_bytes_by_tasks(),
        _agent_us_by_tasks(),
    ]
    for slope in slopes:
        _show(slope)
    return CapacityFigures(deployment, seed, slopes, resident_bytes())


def resident_bytes() -> int:
    """Give the resident memory of this process."""
    with open("/proc/self/statm", encoding="ascii") as statm:
        return int(statm.read().split()[1]) * PAGE_BYTES


def _show(slope: Slope) -> None:
    print(
        f"{slope.name}: {slope.intercept:.4g} + {slope.slope:.4g} per "
        f"{slope.per} (off by up to {slope.residual_share:.0%})"
    )


def _allocated(make: Callable[[], object]) -> float:
    gc.collect()
    tracemalloc.start()
    kept = make()
    gc.collect()
    used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return float(used_bytes)


def _reported_entry(vms: int) -> LoadedEntry:
    entry = LoadedEntry(vms, 0, 0)
    for vm in range(vms):
        report = sample_report(vm, 1, [])
        entry.router.on_report(report, 1.0)
        entry.leader.on_report(report, 1.0)
    return entry


def _entry_bytes_by_vms() -> Slope:
    values = [
        _allocated(functools.partial(_reported_entry, int(size)))
        for size in VM_SIZES
    ]
    return fit_line("entry_state_bytes", "VM led", VM_SIZES, values)


def _entry_bytes_by_jobs(*, queued: bool) -> Slope:
    values = []
    for size in JOB_SIZES:
        count = int(size)
        running = 0 if queued else count
        waiting = count if queued else 0
        make = functools.partial(LoadedEntry, 100, running, waiting)
        values.append(_allocated(make))
    kind = "queued job" if queued else "running job"
    return fit_line("entry_state_bytes", kind, JOB_SIZES, values)


def _report_us_by_vms() -> Slope:
    values = []
    encoder = msgspec.msgpack.Encoder()
    decoder = msgspec.msgpack.Decoder(AgentReport)
    for size in VM_SIZES:
        vms = int(size)
        entry = LoadedEntry(vms, vms * TASKS_PER_VM, 0)
        held = [
            [vm + vms * n for n in range(TASKS_PER_VM)] for vm in range(vms)
        ]
        datas = [
            encoder.encode(sample_report(vm, 1, held[vm])) for vm in range(vms)
        ]
        started_s = time.process_time()
        for index in range(REPORT_ROUNDS):
            report = decoder.decode(datas[index % vms])
            entry.router.on_report(report, 1.0)
            for action in entry.leader.on_report(report, 1.0):
                message = getattr(action, "message", None)
                if message is not None:
                    encoder.encode(message)
        took_s = time.process_time() - started_s
        values.append(took_s / REPORT_ROUNDS * 1e6)
    return fit_line("entry_report_us", "VM led", VM_SIZES, values)


def _tick_us_by_vms() -> Slope:
    values = []
    for size in VM_SIZES:
        entry = _reported_entry(int(size))
        entry.leader.tick(1.0, 0)
        started_s = time.process_time()
        for index in range(20):
            entry.leader.tick(1.05 + index * 0.05, 0)
        values.append((time.process_time() - started_s) / 20 * 1e6)
    return fit_line("entry_idle_tick_us", "VM led", VM_SIZES, values)


def _life(index: int) -> list[Record]:
    name = f"job-{index}"
    return [
        JobSubmitted(sample_job(index)),
        JobClaimed(name, 1, f"vm-{index % 100}", 1, ENTRY, "bench"),
        JobFinished(name, 1, 1),
    ]


def _apply_us_by_records() -> Slope:
    values = []
    for size in JOB_SIZES:
        entry = LoadedEntry(100, 0, 0)
        encoder = msgspec.msgpack.Encoder()
        datas = [
            encoder.encode(AppendBatch("w", index + 1, _life(index)))
            for index in range(int(size))
        ]
        started_s = time.process_time()
        for offset, data in enumerate(datas):
            entry.cell.apply(offset, offset, data)
        values.append((time.process_time() - started_s) * 1e6)
    return fit_line("entry_apply_us", "job's three records", JOB_SIZES, values)


def _record_bytes() -> Slope:
    encoder = msgspec.msgpack.Encoder()
    values = []
    for size in RECORD_SIZES:
        records: list[Record] = []
        for index in range(int(size)):
            records.extend(_life(index))
        batch = AppendBatch(ENTRY, 1, records)
        values.append(float(len(encoder.encode(batch))))
    return fit_line("log_bytes", "job's three records", RECORD_SIZES, values)


def _report_bytes_by_tasks() -> Slope:
    encoder = msgspec.msgpack.Encoder()
    values = [
        float(len(encoder.encode(sample_report(1, 1, list(range(int(size)))))))
        for size in TASK_SIZES
    ]
    return fit_line("agent_report_bytes", "task", TASK_SIZES, values)


def _agent_us_by_tasks() -> Slope:
    values = []
    encoder = msgspec.msgpack.Encoder()
    for size in TASK_SIZES:
        keeper = TaskManager("vm-1", 1, sample_report(1, 1, []).capacity)
        keeper.on_inventory([])
        started_s = time.process_time()
        for index in range(REPORT_ROUNDS):
            sequence = keeper.next_sequence(float(index))
            tasks = list(range(int(size)))
            encoder.encode(sample_report(1, sequence, tasks))
            keeper.on_grant(_grant(keeper, sequence), float(index))
        took_s = time.process_time() - started_s
        values.append(took_s / REPORT_ROUNDS * 1e6)
    return fit_line("agent_report_us", "task", TASK_SIZES, values)


def _grant(keeper: TaskManager, sequence: int) -> LeaseGrant:
    return LeaseGrant(
        entry=ENTRY,
        vm="vm-1",
        term=keeper.term,
        reply_to=sequence,
        ttl_s=5.0,
        starts=[],
        stops=[],
        acknowledged=[],
    )
