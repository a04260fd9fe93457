"""A VM as a candidate for placements, updated within a planning round."""

from __future__ import annotations

import copy
from typing import TYPE_CHECKING

from yuccapoint.cell.interference_model import NEIGHBOUR_CPU_SHARE
from yuccapoint.job.size import Size

if TYPE_CHECKING:
    from yuccapoint.cell.interference_model import InterferenceModel
    from yuccapoint.cell.step_spec import StepSpec
    from yuccapoint.cell.vm_ledger import VmLedger

# Share of its processors that a serving task is expected to use; the rest
# is available to best-effort tasks.
SERVING_CPU_USE_SHARE = 0.5


class VmCandidate:
    """Free capacity, demand and images on one VM.

    Attributes
    ----------
    best_effort_millicores : int
        Processors that best-effort tasks demand.
    serving_images : dict of str to int
        Processors committed to tasks with a latency target, by image.
    demand_millicores : float
        Processors that all tasks are expected to use.
    """

    __slots__ = (
        "best_effort_images",
        "best_effort_millicores",
        "capacity",
        "demand_millicores",
        "free",
        "interference",
        "labels",
        "ledger",
        "serving_images",
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
        for task in ledger.claims.values():
            self._adjust(task.step.spec, id(task.step))

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
        if spec.label and spec.label not in self.labels:
            return False
        return spec.committed.fits(self.free)

    def place(self, spec: StepSpec, step_key: int) -> None:
        """Add a task."""
        self.free -= spec.committed
        self._adjust(spec, step_key)

    def remove(self, spec: StepSpec, step_key: int) -> None:
        """Remove a task."""
        self.free += spec.committed
        self._adjust(spec, step_key, -1)

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
