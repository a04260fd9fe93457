"""Figures of a VM that placement weighs, kept up to date in a round."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.job.size import Size

if TYPE_CHECKING:
    from yuccapoint.cell.step_spec import StepSpec
    from yuccapoint.cell.vm_ledger import VmLedger

# Share of its processors that a serving task is taken to use; the rest is
# idle and goes to tasks that fill.
SERVING_USE = 0.5


class VmRoom:
    """Room, demand and company on one VM.

    Attributes
    ----------
    filling_millicores : int
        Processors that tasks want which only fill.
    serving_millicores : int
        Processors committed to tasks with a latency target.
    demand_millicores : float
        Processors that all tasks are expected to use.
    """

    __slots__ = (
        "capacity",
        "demand_millicores",
        "filling_millicores",
        "free",
        "labels",
        "ledger",
        "serving_millicores",
        "step_counts",
    )

    def __init__(self, ledger: VmLedger) -> None:
        worker = ledger.worker
        self.ledger = ledger
        self.capacity = Size() if worker is None else worker.capacity
        self.labels = () if worker is None else worker.labels
        self.free = ledger.room
        self.filling_millicores = 0
        self.serving_millicores = 0
        self.demand_millicores = 0.0
        self.step_counts: dict[int, int] = {}
        for task in ledger.claims.values():
            self._weigh(task.step.spec, id(task.step))

    @property
    def filling_room(self) -> float:
        """Processors, in thousandths, that nothing is expected to use."""
        return self.capacity.millicores - self.demand_millicores

    def take(self, spec: StepSpec, step_key: int) -> None:
        """Take a task in."""
        self.free -= spec.committed
        self._weigh(spec, step_key)

    def _weigh(self, spec: StepSpec, step_key: int) -> None:
        self.step_counts[step_key] = self.step_counts.get(step_key, 0) + 1
        millicores = spec.size.millicores
        if spec.filling:
            self.filling_millicores += millicores
            self.demand_millicores += millicores
            return
        if spec.target_ms:
            self.serving_millicores += millicores
            self.demand_millicores += SERVING_USE * millicores
            return
        self.demand_millicores += millicores
