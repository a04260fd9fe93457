"""The sizes of VMs that each pool has."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from yuccapoint.job.size import Size
    from yuccapoint.version.pool import Pool


class PoolShapes:
    """Tells whether any VM of a pool could hold a job when empty."""

    def __init__(self) -> None:
        self._vm_shapes: dict[str, tuple[str, Size]] = {}
        self._shapes: dict[str, collections.Counter[Size]] = {}

    def update(self, vm: str, pool: str, capacity: Size) -> bool:
        """Take a VM's pool and capacity; True if they are news."""
        old = self._vm_shapes.get(vm)
        if old is not None and old[0] == pool and old[1] == capacity:
            return False
        self.forget(vm)
        self._vm_shapes[vm] = (pool, capacity)
        shapes = self._shapes.setdefault(pool, collections.Counter())
        shapes[capacity] += 1
        return True

    def forget(self, vm: str) -> None:
        """Take a VM out."""
        old = self._vm_shapes.pop(vm, None)
        if old is None:
            return
        shapes = self._shapes[old[0]]
        shapes[old[1]] -= 1
        if not shapes[old[1]]:
            del shapes[old[1]]

    def vm_count(self, pool: str) -> int:
        """Give the number of VMs known of a pool."""
        return sum(self._shapes.get(pool, {}).values())

    def misfit_reason(self, pool: Pool, size: Size, reserve: Size) -> str:
        """Say why no VM can hold a size, and what would have to change.

        Returns
        -------
        str
            Empty if some VM could hold it, or if no VM is known.
        """
        shapes = [shape - reserve for shape in self._shapes.get(pool.name, ())]
        if not shapes or any(size.fits(shape) for shape in shapes):
            return ""
        cores = max(shape.millicores for shape in shapes)
        memory = max(shape.memory_bytes for shape in shapes)
        most = max(shape.accelerators for shape in shapes)
        return (
            f"no VM of {pool.name} can hold {size.millicores} millicores, "
            f"{size.memory_bytes} bytes and {size.accelerators} "
            "accelerators beside the reserve; the largest have "
            f"{cores}, {memory} and {most}; ask for less or add a VM "
            "that holds it"
        )
