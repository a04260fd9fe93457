"""Checks what must always hold, from what the workers see."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cell_world.worker_model import WorkerModel
    from yuccapoint.cell.submission import Submission


class Oracle:
    """Collects every broken promise."""

    def __init__(self) -> None:
        self.broken: list[str] = []
        self.jobs: dict[str, Submission] = {}
        self.cancelled_at_s: dict[str, float] = {}
        self.workers: list[WorkerModel] = []
        self.starts = 0
        self.done: set[str] = set()
        self.noted_done: set[str] = set()
        self.noted_failures: dict[str, int] = {}

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
            self.say("UNASKED", task_id, "nobody asked for it")
            return
        spec = job.steps[int(step)]
        for other in self.workers:
            if other.alive and task_id in other.running:
                self.say("TWICE", task_id, f"runs on {other.vm} too")
        if task_id in self.noted_done:
            self.say("TWICE", task_id, "was done")
        for earlier in spec.depends_on:
            for index in range(job.steps[earlier].tasks):
                needed = f"{job_id}.{occurrence}.{earlier}.{index}"
                if needed not in self.done:
                    self.say("ORDER", task_id, f"{needed} is not done")
        failures = self.noted_failures.get(task_id, 0)
        if failures >= job.queue.max_attempts and not spec.long_running:
            self.say("BUDGET", task_id, f"failed {failures} times")
        if spec.label and spec.label not in worker.labels:
            self.say("ROUTE", task_id, f"{worker.vm} has no {spec.label}")
        near = [
            other
            for other in worker.running
            if other.rpartition(".")[0] == task_id.rpartition(".")[0]
        ]
        if spec.max_per_vm and len(near) >= spec.max_per_vm:
            self.say("ROUTE", task_id, f"{len(near)} on {worker.vm}")
        used = sum(
            self.spec_of(other).committed.millicores
            for other in worker.running
        )
        if used + spec.committed.millicores > worker.capacity.millicores:
            self.say("LIMIT", task_id, f"{worker.vm} uses {used}")
        cancelled_at_s = self.cancelled_at_s.get(job_id)
        if cancelled_at_s is not None and now_s - cancelled_at_s > 30:
            self.say("UNASKED", task_id, "was cancelled long before")

    def on_noted(self, task_id: str, how: str) -> None:
        """An end reached the number up to which ends are forgotten."""
        # A lasting task starts again however it ended.
        if how == "done" and not self.spec_of(task_id).long_running:
            self.noted_done.add(task_id)
        if how == "failed":
            before = self.noted_failures.get(task_id, 0)
            self.noted_failures[task_id] = before + 1

    def say(self, rule: str, task_id: str, text: str) -> None:
        self.broken.append(f"{rule}: {task_id} {text}")
