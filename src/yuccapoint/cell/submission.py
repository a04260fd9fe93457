"""A multi-step job as it was accepted."""

from __future__ import annotations

import msgspec

from yuccapoint.cell.exceptions import InvalidJobError
from yuccapoint.cell.queue_address import QueueAddress
from yuccapoint.cell.queue_rules import QueueRules
from yuccapoint.cell.step_spec import StepSpec

# Larger jobs do not fit into one record of the store.
MAX_STEPS = 256
MAX_TASKS = 20_000
# Numbers above this can't be stored; no resource or time comes close.
MAX_NUMBER = 2**62


class Submission(msgspec.Struct, frozen=True, array_like=True):
    """A job with its route's rules.

    Attributes
    ----------
    job_id : str
        Chosen by the submitter; submissions with one id are the same job.
    queue : QueueRules
        Rules of the route at the time of acceptance.
    payload : str
        Passed to the worker with each start.
    steps : tuple of StepSpec
        The work; each step depends on earlier ones only.
    accepted_at_ms : int
        Wall-clock time of the acceptance.
    repeats : int
        Number of scheduled occurrences; 0 to run once without delay.
    first_due_ms : int
        Wall-clock time of the first scheduled occurrence.
    interval_ms : int
        Time between two occurrences.
    address : QueueAddress or None
        Address that the job was submitted to; None in records of earlier
        builds.
    config_version : int
        Version of the config with the route's rules; 0 in records of earlier
        builds.
    """

    job_id: str
    queue: QueueRules
    payload: str
    steps: tuple[StepSpec, ...]
    accepted_at_ms: int = 0
    repeats: int = 0
    first_due_ms: int = 0
    interval_ms: int = 0
    address: QueueAddress | None = None
    config_version: int = 0

    @property
    def occurrences(self) -> int:
        """The number of occurrences."""
        return max(1, self.repeats)

    def due_at_ms(self, occurrence: int) -> int:
        """Return the wall-clock time from which an occurrence may start."""
        if not self.repeats:
            return 0
        return self.first_due_ms + occurrence * self.interval_ms

    def check(self) -> None:
        """Validate what decoding does not.

        Raises
        ------
        InvalidJobError
            The job can never run as it stands.
        """
        if not 1 <= len(self.steps) <= MAX_STEPS:
            raise InvalidJobError(f"a job has 1 to {MAX_STEPS} steps")
        if sum(step.tasks for step in self.steps) > MAX_TASKS:
            raise InvalidJobError(f"a job has at most {MAX_TASKS} tasks")
        if self.repeats < 0 or self.interval_ms < 0 or self.first_due_ms < 0:
            raise InvalidJobError("a schedule can't be negative")
        last_due_ms = self.first_due_ms + self.repeats * self.interval_ms
        if max(self.repeats, self.interval_ms, last_due_ms) > MAX_NUMBER:
            raise InvalidJobError("a schedule exceeds the range of numbers")
        for number, step in enumerate(self.steps):
            _check_step(number, step)


def _check_step(number: int, step: StepSpec) -> None:
    if step.tasks < 1:
        raise InvalidJobError(f"step {number} has no tasks")
    if not step.size.valid:
        raise InvalidJobError(f"step {number} has a negative size")
    limits = (step.estimate_ms, step.max_per_vm, step.target_ms)
    if min(*limits, step.max_unavailable) < 0:
        raise InvalidJobError(f"step {number} has a negative limit")
    size = (
        step.size.millicores,
        step.size.memory_bytes,
        step.size.accelerators,
    )
    if max(*size, *limits, step.max_unavailable) > MAX_NUMBER:
        raise InvalidJobError(f"step {number} exceeds the range of numbers")
    for earlier in step.depends_on:
        if not 0 <= earlier < number:
            raise InvalidJobError(
                f"step {number} depends on step {earlier}, "
                "which is not an earlier one"
            )
