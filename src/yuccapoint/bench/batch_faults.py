"""Faults that can be injected into a simulated cell."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

from yuccapoint.bench.batch_workload import make_job

if TYPE_CHECKING:
    from yuccapoint.bench.batch_simulation import BatchSimulation

Fault = Callable[["BatchSimulation"], None]
BATCH_FAULTS: dict[str, Fault] = {}
LONG_ENTRY_PAUSE_S = 30.0
OUTAGE_S = 25.0
CANCELLED_JOB_COUNT = 30
CLOCK_DRIFTS = (-0.005, 0.005)


def batch_fault(name: str) -> Callable[[Fault], Fault]:
    """Register a fault, which starts when called and ends by itself."""

    def register(fault: Fault) -> Fault:
        BATCH_FAULTS[name] = fault
        return fault

    return register


@batch_fault("vm_dies")
def kill_vm(simulation: BatchSimulation) -> None:
    """Kill a VM and replace it later."""
    vm = simulation.rng.choice(simulation.vms)
    vm.crash()
    simulation.schedule(20.0, vm.start)


@batch_fault("rack_cut_off")
def isolate_rack(simulation: BatchSimulation) -> None:
    """Partition a rack from the entries; its workers keep running."""
    for vm in simulation.vms[3:6]:
        vm.cut_off = True
        simulation.schedule(OUTAGE_S, partial(setattr, vm, "cut_off", False))


@batch_fault("agent_restarts")
def restart_agent(simulation: BatchSimulation) -> None:
    """Restart agents; tasks may end while an agent is down."""
    for vm in simulation.rng.sample(simulation.vms, 3):
        if not vm.up:
            continue
        vm.agent_up = False
        simulation.schedule(3.0, vm.restart_agent)


@batch_fault("agent_pauses")
def pause_agent(simulation: BatchSimulation) -> None:
    """Pause agents until their leases have expired."""
    for vm in simulation.rng.sample(simulation.vms, 3):
        vm.paused = True
        simulation.schedule(9.0, vm.resume)


@batch_fault("entry_dies")
def kill_entry(simulation: BatchSimulation) -> None:
    """Kill an entry and restart it later."""
    entry = simulation.rng.choice(simulation.entries)
    entry.crash()
    simulation.schedule(15.0, entry.start)


@batch_fault("entry_pauses")
def pause_entry(simulation: BatchSimulation) -> None:
    """Pause an entry, for long enough that others may take over."""
    entry = simulation.rng.choice(simulation.entries)
    entry.paused = True
    pause_s = simulation.rng.choice((2.5, 4.5, 8.0, LONG_ENTRY_PAUSE_S))
    simulation.schedule(pause_s, entry.resume)


@batch_fault("entry_stops")
def stop_entry(simulation: BatchSimulation) -> None:
    """Stop an entry gracefully and restart it later."""
    entry = simulation.rng.choice(simulation.entries)
    if not entry.up:
        return
    entry.stop()
    simulation.schedule(15.0, entry.start)


@batch_fault("log_down")
def stop_log(simulation: BatchSimulation) -> None:
    """Make the log unavailable for a while."""
    simulation.log_down = True
    simulation.schedule(
        OUTAGE_S, lambda: setattr(simulation, "log_down", False)
    )


@batch_fault("entry_cut_off")
def isolate_entry(simulation: BatchSimulation) -> None:
    """Partition a single entry from the log."""
    entry = simulation.rng.choice(simulation.entries)
    entry.cut_off = True
    simulation.schedule(OUTAGE_S, lambda: setattr(entry, "cut_off", False))


@batch_fault("answers_lost")
def lose_responses(simulation: BatchSimulation) -> None:
    """Drop half of the log's responses after the write succeeded."""
    simulation.lost_answers = 0.5
    simulation.schedule(
        OUTAGE_S, lambda: setattr(simulation, "lost_answers", 0.0)
    )


@batch_fault("messages_lost")
def lose_messages(simulation: BatchSimulation) -> None:
    """Drop a third of the messages between agents and entries."""
    simulation.lost_messages = 0.33
    simulation.schedule(
        OUTAGE_S, lambda: setattr(simulation, "lost_messages", 0.0)
    )


@batch_fault("clocks_drift")
def drift_clocks(simulation: BatchSimulation) -> None:
    """Set clock rates to the limits of the allowed drift."""
    for entry in simulation.entries:
        entry.set_clock_drift(simulation.rng.choice(CLOCK_DRIFTS))
    for vm in simulation.vms:
        vm.set_clock_drift(simulation.rng.choice(CLOCK_DRIFTS))


@batch_fault("worker_fails_all")
def fail_all_tasks(simulation: BatchSimulation) -> None:
    """Make a worker fail every task that it starts."""
    vm = simulation.rng.choice(simulation.vms)
    vm.worker.fails_all = True
    worker = vm.worker
    simulation.schedule(OUTAGE_S, lambda: setattr(worker, "fails_all", False))


@batch_fault("cancel_wave")
def cancel_jobs(simulation: BatchSimulation) -> None:
    """Cancel many jobs at once, each through a random entry."""
    unfinished = simulation.oracle.unfinished
    job_ids = sorted(unfinished)[:CANCELLED_JOB_COUNT]
    for job_id in job_ids:
        entry = simulation.rng.choice(simulation.entries)
        if entry.up:
            entry.cancel(job_id)


@batch_fault("submit_wave")
def submit_jobs(simulation: BatchSimulation) -> None:
    """Submit many jobs at once."""
    for number in range(60):
        simulation.submit(make_job(900_000 + number, simulation.rng))
