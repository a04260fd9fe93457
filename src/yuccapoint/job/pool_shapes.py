"""VM capacities by pool."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from yuccapoint.job.size import Size
    from yuccapoint.version.pool import Pool


class PoolShapes:
    """Counts the VM shapes of each pool to find jobs that can never fit.

    A shape is the total capacity of a VM.
    """

    def __init__(self) -> None:
        self._vm_shapes: dict[str, tuple[str, Size]] = {}
        self._shapes: dict[str, collections.Counter[Size]] = {}

    def update(self, vm: str, pool: str, capacity: Size) -> bool:
        """Record a VM's pool and capacity; return whether they changed."""
        old = self._vm_shapes.get(vm)
        if old is not None and old[0] == pool and old[1] == capacity:
            return False
        self.forget(vm)
        self._vm_shapes[vm] = (pool, capacity)
        shapes = self._shapes.setdefault(pool, collections.Counter())
        shapes[capacity] += 1
        return True

    def forget(self, vm: str) -> None:
        """Remove a VM."""
        old = self._vm_shapes.pop(vm, None)
        if old is None:
            return
        shapes = self._shapes[old[0]]
        shapes[old[1]] -= 1
        if not shapes[old[1]]:
            del shapes[old[1]]

    def vm_count(self, pool: str) -> int:
        """Return the number of known VMs of a pool."""
        return sum(self._shapes.get(pool, {}).values())

    def misfit_reason(self, pool: Pool, size: Size, reserve: Size) -> str:
        """Explain why an empty VM of the pool cannot fit a size.

        Returns
        -------
        str
            Reason and remedy; empty if some VM can fit it, or if no VM of
            the pool is known.
        """
        shapes = [shape - reserve for shape in self._shapes.get(pool.name, ())]
        if not shapes or any(size.fits(shape) for shape in shapes):
            return ""
        max_millicores = max(shape.millicores for shape in shapes)
        max_memory_bytes = max(shape.memory_bytes for shape in shapes)
        max_accelerators = max(shape.accelerators for shape in shapes)
        return (
            f"no VM of {pool.name} fits {size.millicores} millicores, "
            f"{size.memory_bytes} bytes and {size.accelerators} "
            "accelerators besides the pool's reserve; the largest have "
            f"{max_millicores}, {max_memory_bytes} and {max_accelerators}; "
            "request less or add a larger VM"
        )
