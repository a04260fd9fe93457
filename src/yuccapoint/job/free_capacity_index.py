"""Index of a pool's VMs by free capacity."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from sortedcontainers import SortedList

if TYPE_CHECKING:
    import random

    from yuccapoint.job.size import Size
    from yuccapoint.job.vm_view import VmView

MAX_CANDIDATES = 12
# A random sample consists of this many runs of adjacent VMs in the index.
SAMPLED_SEGMENTS = 3
MAX_SCANNED_VMS = 32

CapacityKey = tuple[int, int, str]


class FreeCapacityIndex:
    """Finds a bounded number of VMs with enough free capacity for a job.

    VMs with accelerators are indexed separately. A job that needs
    accelerators gets the VMs with the fewest that suffice, which keeps
    larger groups of accelerators unfragmented. A job that needs none gets
    these VMs only if no other fits.

    Attributes
    ----------
    version : int
        Incremented when the free capacity of a VM grows.
    """

    def __init__(self) -> None:
        self.version = 0
        self._views: dict[str, VmView] = {}
        self._keys: dict[str, CapacityKey] = {}
        self._unaccelerated: SortedList[CapacityKey] = SortedList()
        self._accelerated: SortedList[CapacityKey] = SortedList()

    def __len__(self) -> int:
        return len(self._keys)

    def put(self, view: VmView) -> None:
        """Add a VM, or update it to its current free capacity."""
        key = (view.free.accelerators, view.free.millicores, view.vm)
        old = self._keys.get(view.vm)
        if old == key and self._views[view.vm] is view:
            return
        if old is None or key > old:
            self.version += 1
        self.remove(view.vm)
        self._views[view.vm] = view
        self._keys[view.vm] = key
        self._order(view).add(key)

    def remove(self, vm: str) -> None:
        """Remove a VM, if it is indexed."""
        key = self._keys.pop(vm, None)
        if key is None:
            return
        view = self._views.pop(vm)
        order = self._order(view)
        order.discard(key)

    def candidates(
        self, size: Size, rng: random.Random, *, packing: bool
    ) -> list[VmView]:
        """Return some VMs with enough free capacity.

        Parameters
        ----------
        size : Size
            Resources that the job needs.
        rng : random.Random
            Random number generator for the sample.
        packing : bool
            Whether to return the VMs with the least free capacity that
            suffices instead of a random sample.

        Returns
        -------
        list of VmView
            VMs that fit the job, at most ``MAX_SCANNED_VMS``.
        """
        if size.accelerators:
            return self._best_fits(self._accelerated, size)
        for order in (self._unaccelerated, self._accelerated):
            found = (
                self._best_fits(order, size)
                if packing
                else self._sample(order, size, rng)
            )
            if found:
                return found
        return []

    def _order(self, view: VmView) -> SortedList[CapacityKey]:
        if view.capacity.accelerators:
            return self._accelerated
        return self._unaccelerated

    def _best_fits(
        self, order: SortedList[CapacityKey], size: Size
    ) -> list[VmView]:
        found: list[VmView] = []
        least = (size.accelerators, size.millicores, "")
        for key in itertools.islice(order.irange(least), MAX_SCANNED_VMS):
            view = self._views[key[2]]
            if size.fits(view.free):
                found.append(view)
            if len(found) >= MAX_CANDIDATES:
                return found
        return found

    def _sample(
        self, order: SortedList[CapacityKey], size: Size, rng: random.Random
    ) -> list[VmView]:
        first = order.bisect_left((0, size.millicores, ""))
        count = len(order) - first
        if count <= MAX_SCANNED_VMS:
            keys = list(order[first:])
        else:
            keys = self._sample_segments(order, first, count, rng)
        found = [self._views[key[2]] for key in keys]
        found = [view for view in found if size.fits(view.free)]
        if found or count <= MAX_SCANNED_VMS:
            return found
        largest = [self._views[key[2]] for key in order[-MAX_SCANNED_VMS:]]
        return [view for view in largest if size.fits(view.free)]

    def _sample_segments(
        self,
        order: SortedList[CapacityKey],
        first: int,
        count: int,
        rng: random.Random,
    ) -> list[CapacityKey]:
        # Finding an item by position costs as much as many steps from it.
        length = MAX_CANDIDATES // SAMPLED_SEGMENTS
        keys: list[CapacityKey] = []
        for _ in range(SAMPLED_SEGMENTS):
            start = first + int(rng.random() * (count - length))
            keys.extend(order.islice(start, start + length))
        return list(dict.fromkeys(keys))
