"""VMs with room for best-effort runs that may move."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from yuccapoint.cell.step_run import StepRun
    from yuccapoint.cell.vm_candidate import VmCandidate
    from yuccapoint.job.size import Size

# Limit of the kinds of tasks for which all VMs are checked at a time: reports
# and leases wait meanwhile.
MAX_KINDS = 64

# Pool, size, label and image, and the step if its tasks are limited per VM.
Kind = tuple[str, "Size", str, str, int]


class FittingVms:
    """Finds VMs with room for tasks, once for all tasks of a kind.

    In a busy cell most best-effort runs are slow at once, and each of them
    would otherwise be checked against each VM, in each check.

    Parameters
    ----------
    candidates : list of VmCandidate
        All open VMs.
    min_speed : float
        Speed that a run is expected to have at least.
    tried_kinds : set of Kind
        Kinds of earlier checks, which are left out until all others have
        been checked.

    Attributes
    ----------
    max_speed : float
        Expected speed of a run on the fastest VM, with room or without.
    """

    __slots__ = (
        "_by_kind",
        "_candidates",
        "_checked_kinds",
        "_left_out",
        "_seen_kinds",
        "_tried_kinds",
        "max_speed",
    )

    def __init__(
        self,
        candidates: list[VmCandidate],
        min_speed: float,
        tried_kinds: set[Kind],
    ) -> None:
        self._candidates = sorted(
            candidates, key=lambda c: -max(min_speed, c.expected_speed)
        )
        self.max_speed = max(
            (c.expected_speed for c in candidates), default=min_speed
        )
        self._by_kind: dict[Kind, list[VmCandidate]] = {}
        self._checked_kinds = 0
        self._seen_kinds: set[Kind] = set()
        self._tried_kinds = tried_kinds
        self._left_out = False

    def find(self, step: StepRun) -> list[VmCandidate]:
        """Return the VMs with room for a task of a step, the fastest first.

        There are none for kinds of tasks beyond the limit, which the next
        checks begin with.
        """
        spec = step.spec
        step_key = id(step) if spec.max_per_vm else 0
        kind = (step.pool, spec.size, spec.label, spec.image, step_key)
        found = self._by_kind.get(kind)
        if found is not None:
            return found
        if kind in self._tried_kinds:
            return []
        if self._checked_kinds >= MAX_KINDS:
            self._left_out = True
            return []
        self._checked_kinds += 1
        self._seen_kinds.add(kind)
        found = [c for c in self._candidates if _has_room(c, step)]
        self._by_kind[kind] = found
        return found

    def end(self) -> None:
        """End a check, and note which kinds the next one leaves out."""
        if not self._left_out:
            self._tried_kinds.clear()
            return
        self._tried_kinds.update(self._seen_kinds)

    def place(self, step: StepRun, candidate: VmCandidate) -> None:
        """Reserve room for a task of a step."""
        candidate.place(step.spec, id(step))
        self._by_kind.clear()


def _has_room(candidate: VmCandidate, step: StepRun) -> bool:
    spec = step.spec
    worker = candidate.ledger.worker
    if worker is None or worker.pool != step.pool:
        return False
    count = candidate.step_counts.get(id(step), 0)
    if spec.max_per_vm and count >= spec.max_per_vm:
        return False
    return candidate.can_run(spec) and not candidate.would_overload(spec)
