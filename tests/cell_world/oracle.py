"""Checks of a cell's invariants on the starts that workers receive."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cell_world.worker_model import WorkerModel
    from yuccapoint.cell.submission import Submission


class Oracle:
    """Collects violations of the cell's guarantees."""

    def __init__(self) -> None:
        self.violations: list[str] = []
        self.jobs: dict[str, Submission] = {}
        self.cancelled_at_s: dict[str, float] = {}
        self.workers: list[WorkerModel] = []
        self.starts = 0
        self.done: set[str] = set()
        self.acked_done: set[str] = set()
        self.acked_failures: dict[str, int] = {}

    def spec_of(self, task_id: str):
        job_id, _, step, _ = task_id.split(".")
        return self.jobs[job_id].steps[int(step)]

    def on_run_started(
        self, worker: WorkerModel, task_id: str, payload: str, now_s: float
    ) -> None:
        self.starts += 1
        job_id, occurrence, step, _ = task_id.split(".")
        job = self.jobs.get(job_id)
        if job is None or job.payload != payload:
            self.record_violation("UNASKED", task_id, "no job has this task")
            return
        spec = job.steps[int(step)]
        for other in self.workers:
            if other.alive and task_id in other.running:
                self.record_violation(
                    "TWICE", task_id, f"also runs on {other.vm}"
                )
        if task_id in self.acked_done:
            self.record_violation("TWICE", task_id, "is already done")
        for earlier in spec.depends_on:
            for index in range(job.steps[earlier].tasks):
                needed = f"{job_id}.{occurrence}.{earlier}.{index}"
                if needed not in self.done:
                    self.record_violation(
                        "ORDER", task_id, f"{needed} is not done"
                    )
        failures = self.acked_failures.get(task_id, 0)
        if failures >= job.queue.max_attempts and not spec.long_running:
            self.record_violation(
                "BUDGET", task_id, f"failed {failures} times"
            )
        if spec.label and spec.label not in worker.labels:
            self.record_violation(
                "ROUTE", task_id, f"{worker.vm} has no {spec.label}"
            )
        near = [
            other
            for other in worker.running
            if other.rpartition(".")[0] == task_id.rpartition(".")[0]
        ]
        if spec.max_per_vm and len(near) >= spec.max_per_vm:
            self.record_violation(
                "ROUTE", task_id, f"{len(near)} on {worker.vm}"
            )
        used = sum(
            self.spec_of(other).committed.millicores
            for other in worker.running
        )
        if used + spec.committed.millicores > worker.capacity.millicores:
            self.record_violation("LIMIT", task_id, f"{worker.vm} uses {used}")
        cancelled_at_s = self.cancelled_at_s.get(job_id)
        if cancelled_at_s is not None and now_s - cancelled_at_s > 30:
            self.record_violation(
                "UNASKED", task_id, "was cancelled long before"
            )

    def on_end_acked(self, task_id: str, how: str) -> None:
        """Record an end that the leader acknowledged."""
        # A long-running task is restarted after any end.
        if how == "done" and not self.spec_of(task_id).long_running:
            self.acked_done.add(task_id)
        if how == "failed":
            before = self.acked_failures.get(task_id, 0)
            self.acked_failures[task_id] = before + 1

    def record_violation(self, rule: str, task_id: str, text: str) -> None:
        self.violations.append(f"{rule}: {task_id} {text}")
