"""Counts violations of the invariants by observing the stand-ins."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from yuccapoint_standins.deployment import Deployment

LEAVE_GRACE_S = 3.0


class Violations(msgspec.Struct):
    """Number of violations of each invariant; all must be 0."""

    vm_overcommitted: int = 0
    job_in_two_places: int = 0
    attempt_started_twice: int = 0
    wrong_or_cut_answer: int = 0
    false_not_run: int = 0
    request_ran_twice: int = 0
    work_after_leave: int = 0
    version_reverted: int = 0
    job_lost: int = 0


class InvariantChecker:
    """Observes a deployment from outside its decision logic.

    Parameters
    ----------
    deployment : Deployment
        The observed deployment, which keeps its killed VMs listed.
    """

    def __init__(self, deployment: Deployment) -> None:
        self.violations = Violations()
        self._deployment = deployment
        self._versions: dict[str, int] = {}
        self._start_workers: dict[str, int] = {}
        self._duplicated_jobs: set[str] = set()
        self._overcommit_counts: dict[int, int] = {}

    def sample(self) -> None:
        """Check the current state of all workers and members."""
        self._check_workers()
        self._check_versions()

    def on_response(self, *, intact: bool) -> None:
        """Count a response to a caller if it is wrong or truncated."""
        self.violations.wrong_or_cut_answer += not intact

    def check_runs(
        self, non_idempotent: set[str], not_run: set[str], runs: dict[str, int]
    ) -> None:
        """Compare the reported outcomes with the runs at endpoints.

        Parameters
        ----------
        non_idempotent : set of str
            Names of non-idempotent requests.
        not_run : set of str
            Names of requests that were reported as not run.
        runs : dict of str to int
            Number of runs by name, over all endpoints.
        """
        for name in not_run:
            self.violations.false_not_run += runs.get(name, 0) > 0
        for name in non_idempotent:
            self.violations.request_ran_twice += runs.get(name, 0) > 1

    def check_jobs(self, submitted: set[str]) -> None:
        """Check that an entry has each job that was accepted."""
        board = self._deployment.entries[-1].cell.board
        for job_id in submitted:
            self.violations.job_lost += job_id not in board.jobs

    def _check_workers(self) -> None:
        task_counts: dict[str, int] = {}
        for vm in self._deployment.vms:
            model = vm.worker.model
            for task in model.tasks.values():
                task_counts[task.job_id] = task_counts.get(task.job_id, 0) + 1
            counted = self._overcommit_counts.get(id(model), 0)
            self.violations.vm_overcommitted += (
                model.overcommit_count - counted
            )
            self._overcommit_counts[id(model)] = model.overcommit_count
            self._check_starts(model.newest_attempts, id(model))
        for job_id, count in task_counts.items():
            if count > 1 and job_id not in self._duplicated_jobs:
                self._duplicated_jobs.add(job_id)
                self.violations.job_in_two_places += 1

    def _check_starts(
        self, newest_attempts: dict[str, int], worker_id: int
    ) -> None:
        for job_id, attempt in newest_attempts.items():
            key = f"{job_id}/{attempt}"
            if self._start_workers.setdefault(key, worker_id) != worker_id:
                self._start_workers[key] = worker_id
                self.violations.attempt_started_twice += 1

    def _check_versions(self) -> None:
        members = [
            (entry.entry_id, entry.cell.tables.version)
            for entry in self._deployment.entries
        ]
        for vm in self._deployment.vms:
            agent = vm.agent
            name = f"{agent.name}@{agent.incarnation}"
            members.append((name, agent.tables.version))
        for name, version in members:
            self.violations.version_reverted += version < self._versions.get(
                name, 0
            )
            self._versions[name] = version
