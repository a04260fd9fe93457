"""The faults of the brief, as they strike a simulated cell."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

from yuccapoint.bench.batch_shape import make_job

if TYPE_CHECKING:
    from yuccapoint.bench.batch_world import BatchWorld

Fault = Callable[["BatchWorld"], None]
BATCH_FAULTS: dict[str, Fault] = {}
LONG_PAUSE_S = 30.0
OUTAGE_S = 25.0
CANCELLED_JOBS = 30
DRIFTS = (-0.005, 0.005)


def batch_fault(name: str) -> Callable[[Fault], Fault]:
    """Register a fault; it strikes now and ends by itself."""

    def register(fault: Fault) -> Fault:
        BATCH_FAULTS[name] = fault
        return fault

    return register


@batch_fault("vm_dies")
def kill_vm(world: BatchWorld) -> None:
    """Lose a VM, which is replaced later."""
    vm = world.rng.choice(world.vms)
    vm.crash()
    world.after(20.0, vm.start)


@batch_fault("rack_cut_off")
def cut_rack(world: BatchWorld) -> None:
    """Cut a rack off the entries; its workers run on."""
    for vm in world.vms[3:6]:
        vm.cut_off = True
        world.after(OUTAGE_S, partial(setattr, vm, "cut_off", False))


@batch_fault("agent_restarts")
def restart_agent(world: BatchWorld) -> None:
    """Restart agents; tasks end meanwhile."""
    for vm in world.rng.sample(world.vms, 3):
        if not vm.up:
            continue
        vm.agent_up = False
        world.after(3.0, vm.restart_agent)


@batch_fault("agent_pauses")
def pause_agent(world: BatchWorld) -> None:
    """Pause agents past their leases."""
    for vm in world.rng.sample(world.vms, 3):
        vm.paused = True
        world.after(9.0, vm.resume)


@batch_fault("entry_dies")
def kill_entry(world: BatchWorld) -> None:
    """Lose an entry, which starts anew later."""
    entry = world.rng.choice(world.entries)
    entry.crash()
    world.after(15.0, entry.start)


@batch_fault("entry_pauses")
def pause_entry(world: BatchWorld) -> None:
    """Pause an entry for as long as others take over."""
    entry = world.rng.choice(world.entries)
    entry.paused = True
    pause_s = world.rng.choice((2.5, 4.5, 8.0, LONG_PAUSE_S))
    world.after(pause_s, entry.resume)


@batch_fault("entry_stops")
def stop_entry(world: BatchWorld) -> None:
    """Stop an entry as planned."""
    entry = world.rng.choice(world.entries)
    if not entry.up:
        return
    entry.stop()
    world.after(15.0, entry.start)


@batch_fault("log_down")
def stop_log(world: BatchWorld) -> None:
    """Let the log refuse everything for a while."""
    world.log_down = True
    world.after(OUTAGE_S, lambda: setattr(world, "log_down", False))


@batch_fault("entry_cut_off")
def cut_entry(world: BatchWorld) -> None:
    """Cut one entry off the log, the others not."""
    entry = world.rng.choice(world.entries)
    entry.cut_off = True
    world.after(OUTAGE_S, lambda: setattr(entry, "cut_off", False))


@batch_fault("answers_lost")
def lose_answers(world: BatchWorld) -> None:
    """Lose half of the log's answers after the write."""
    world.lost_answers = 0.5
    world.after(OUTAGE_S, lambda: setattr(world, "lost_answers", 0.0))


@batch_fault("messages_lost")
def lose_messages(world: BatchWorld) -> None:
    """Lose a third of the messages between agents and entries."""
    world.lost_messages = 0.33
    world.after(OUTAGE_S, lambda: setattr(world, "lost_messages", 0.0))


@batch_fault("clocks_drift")
def drift_clocks(world: BatchWorld) -> None:
    """Let clocks run apart as far as the bound allows."""
    for entry in world.entries:
        entry.set_clock_drift(world.rng.choice(DRIFTS))
    for vm in world.vms:
        vm.set_clock_drift(world.rng.choice(DRIFTS))


@batch_fault("worker_fails_all")
def fail_all(world: BatchWorld) -> None:
    """Let a worker fail whatever it starts."""
    vm = world.rng.choice(world.vms)
    vm.worker.fails_all = True
    worker = vm.worker
    world.after(OUTAGE_S, lambda: setattr(worker, "fails_all", False))


@batch_fault("cancel_wave")
def cancel_many(world: BatchWorld) -> None:
    """Cancel many jobs at once, each at any entry."""
    live = world.oracle.live
    some = sorted(live)[:CANCELLED_JOBS]
    for job_id in some:
        entry = world.rng.choice(world.entries)
        if entry.up:
            entry.cancel(job_id)


@batch_fault("submit_wave")
def submit_many(world: BatchWorld) -> None:
    """Submit a wave of jobs."""
    for number in range(60):
        world.submit(make_job(900_000 + number, world.rng))
