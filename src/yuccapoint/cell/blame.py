"""Evidence against VMs by runs of long-running tasks.

Such a task never ends as done, and is retried without limit.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from yuccapoint.cell.task_run import TaskRun
    from yuccapoint.cell.vm_ledger import VmLedger

# A run of a long-running task that has worked for this long is a success.
LASTED_S = 3.0
# Limit of the factor by which the delay of retries grows. A task is to run
# again within 6 s, whatever failed before.
MAX_RETRY_FACTOR = 16


def note_work(vm: VmLedger, task: TaskRun, now_s: float) -> None:
    """Record the success of a run that has worked for long enough.

    A run that began before a failure doesn't tell whether the VM starts
    runs that work.
    """
    if task.lasted or not task.step.spec.long_running:
        return
    if now_s - task.started_at_s < LASTED_S:
        return
    task.lasted = True
    task.short_runs = 0
    task.step.occurrence.job.blamed_vm = False
    if task.started_at_s > vm.failed_at_s:
        vm.record_success()


def counts_against_vm(task: TaskRun) -> bool:
    """Return whether a failed run counts against its VM, and note it.

    Those of a long-running job count once until a run of it lasts: one that
    fails on all VMs would otherwise blame each in turn. A run that had
    lasted failed for no fault of its VM.
    """
    if not task.step.spec.long_running:
        return True
    job = task.step.occurrence.job
    if task.lasted or job.blamed_vm:
        return False
    job.blamed_vm = True
    return True


def next_retry_factor(task: TaskRun) -> int:
    """Return the factor of the delay before the next retry of a failed run.

    It doubles with each run of a long-running task that doesn't last, as such
    a task is retried without limit. Other tasks have few attempts.
    """
    if not task.step.spec.long_running or task.lasted:
        return 1
    factor = min(1 << task.short_runs, MAX_RETRY_FACTOR)
    task.short_runs = min(task.short_runs + 1, MAX_RETRY_FACTOR)
    return int(factor)
