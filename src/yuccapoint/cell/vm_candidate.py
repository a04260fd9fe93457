"""A VM as a candidate for placements, updated within a planning round."""

from __future__ import annotations

import copy
from typing import TYPE_CHECKING

from yuccapoint.cell.interference_model import NEIGHBOUR_CPU_SHARE
from yuccapoint.cell.obstacle import Obstacle
from yuccapoint.cell.pace_controller import FULL_PERCENT
from yuccapoint.cell.pace_controller import SETPOINT_SHARE_OF_TARGET
from yuccapoint.job.size import Size

if TYPE_CHECKING:
    from yuccapoint.cell.interference_model import InterferenceModel
    from yuccapoint.cell.step_spec import StepSpec
    from yuccapoint.cell.task_run import TaskRun
    from yuccapoint.cell.vm_ledger import VmLedger

# Share of its processors that a serving task is expected to use; the rest
# is available to best-effort tasks.
SERVING_CPU_USE_SHARE = 0.5
# Ratio by which the demand of best-effort tasks may exceed the idle
# processors. Their demand fluctuates; a higher ratio slows all of them down.
BEST_EFFORT_OVERCOMMIT = 1.1
# Upper bound of the estimated load that best-effort work adds to a service;
# above it the pace controller would throttle all of that work.
MAX_ADDED_LOAD = 0.12
# Range of a service's tail latency, as a share of its target and below the set
# point of the pace controller, in which best-effort work is slowed down.
SLOWING_PRESSURE_RANGE = 0.3


class VmCandidate:
    """Free capacity, demand and images on one VM.

    Attributes
    ----------
    best_effort_millicores : int
        Processors that best-effort tasks demand.
    blame : Obstacle or None
        What keeps tasks off the VM after failures on it.
    serving_images : dict of str to int
        Processors committed to tasks with a latency target, by image.
    demand_millicores : float
        Processors that all tasks are expected to use.
    starting_runs : int
        Runs that started so shortly before that they may yet crash the
        worker.
    sharing_suspects : int
        How many of them are suspects beside which others may start.
    on_trial : bool
        Whether the VM is kept for the start of a suspect.
    reserved_for : str
        The suspect that it is kept for and that has not started yet.
    expected_speed : float
        Speed, 0 to 1, of a best-effort run that starts now.
    """

    __slots__ = (
        "best_effort_images",
        "best_effort_millicores",
        "blame",
        "capacity",
        "demand_millicores",
        "expected_speed",
        "free",
        "interference",
        "labels",
        "ledger",
        "on_trial",
        "reserved_for",
        "serving_images",
        "sharing_suspects",
        "starting_runs",
        "step_counts",
    )

    def __init__(
        self, ledger: VmLedger, interference: InterferenceModel
    ) -> None:
        worker = ledger.worker
        self.ledger = ledger
        self.interference = interference
        self.capacity = Size() if worker is None else worker.capacity
        self.labels = () if worker is None else worker.labels
        self.free = ledger.available
        self.best_effort_millicores = 0
        self.demand_millicores = 0.0
        self.step_counts: dict[int, int] = {}
        self.serving_images: dict[str, int] = {}
        self.best_effort_images: dict[str, float] = {}
        self.expected_speed = 1.0
        self.blame: Obstacle | None = None
        self.starting_runs = 0
        self.sharing_suspects = 0
        self.on_trial = False
        self.reserved_for = ""
        for task in ledger.claims.values():
            self._adjust(task.step.spec, id(task.step))
            self._limit_speed(task)

    def neighbour_units(self, spec: StepSpec) -> float:
        """Return a task's processors in units of one neighbour."""
        unit = NEIGHBOUR_CPU_SHARE * self.capacity.millicores
        return spec.size.millicores / max(1.0, unit)

    def added_load(self, image: str) -> float:
        """Return the load that best-effort work adds to a service."""
        return sum(
            share * self.interference.expected_load(image, best_effort_image)
            for best_effort_image, share in self.best_effort_images.items()
        )

    def copy(self) -> VmCandidate:
        """Return a copy for trial placements."""
        copied = copy.copy(self)
        copied.step_counts = dict(self.step_counts)
        copied.serving_images = dict(self.serving_images)
        copied.best_effort_images = dict(self.best_effort_images)
        return copied

    def can_run(self, spec: StepSpec) -> bool:
        """Return whether a task fits and the VM has the required label."""
        return self.find_misfit(spec) is None

    def find_misfit(self, spec: StepSpec) -> Obstacle | None:
        """Return whether a task lacks a label or room, or None."""
        if spec.label and spec.label not in self.labels:
            return Obstacle.LABEL
        if not spec.committed.fits(self.free):
            return Obstacle.NO_ROOM
        return None

    def would_overload(self, spec: StepSpec) -> bool:
        """Return whether a best-effort task more would slow others down."""
        if not self.best_effort_millicores:
            return False
        idle = self.capacity.millicores * BEST_EFFORT_OVERCOMMIT
        if spec.size.millicores > idle - self.demand_millicores:
            return True
        share = self.neighbour_units(spec)
        for image in self.serving_images:
            added = share * self.interference.expected_load(image, spec.image)
            if self.added_load(image) + added > MAX_ADDED_LOAD:
                return True
        return False

    def place(self, spec: StepSpec, step_key: int) -> None:
        """Add a task."""
        self.free -= spec.committed
        self._adjust(spec, step_key)

    def remove(self, spec: StepSpec, step_key: int) -> None:
        """Remove a task."""
        self.free += spec.committed
        self._adjust(spec, step_key, -1)

    def _limit_speed(self, task: TaskRun) -> None:
        """Take the speed of runs and the load of services into account."""
        spec = task.step.spec
        if spec.best_effort:
            self.expected_speed = min(self.expected_speed, task.speed)
            return
        if not spec.target_ms or task.percent < FULL_PERCENT:
            return
        spare = SETPOINT_SHARE_OF_TARGET - task.load / spec.target_ms
        bearable = max(0.0, spare / SLOWING_PRESSURE_RANGE)
        self.expected_speed = min(self.expected_speed, bearable)

    def _adjust(self, spec: StepSpec, step_key: int, sign: int = 1) -> None:
        count = self.step_counts.get(step_key, 0) + sign
        self.step_counts[step_key] = count
        millicores = sign * spec.size.millicores
        if spec.best_effort:
            share = sign * self.neighbour_units(spec)
            before = self.best_effort_images.get(spec.image, 0.0)
            self.best_effort_images[spec.image] = before + share
            self.best_effort_millicores += millicores
            self.demand_millicores += millicores
            return
        if spec.target_ms:
            before = self.serving_images.get(spec.image, 0)
            self.serving_images[spec.image] = before + millicores
            self.demand_millicores += SERVING_CPU_USE_SHARE * millicores
            return
        self.demand_millicores += millicores
