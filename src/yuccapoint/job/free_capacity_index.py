"""The VMs of a pool ordered by their room."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from sortedcontainers import SortedList

if TYPE_CHECKING:
    import random

    from yuccapoint.job.size import Size
    from yuccapoint.job.vm_view import VmView

MAX_CANDIDATES = 12
SAMPLED_SEGMENTS = 3
MAX_SCANNED_VMS = 32

CapacityKey = tuple[int, int, str]


class FreeCapacityIndex:
    """Gives a bounded number of VMs with room for a job.

    VMs with accelerators are kept apart: a job that needs some is offered
    those with the fewest that suffice, so that gangs stay whole, and a job
    that needs none is offered them last.

    Attributes
    ----------
    version : int
        Rises whenever room was gained.
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
        """Offer a VM with the room it has now."""
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
        """Offer a VM no longer."""
        key = self._keys.pop(vm, None)
        if key is None:
            return
        view = self._views.pop(vm)
        order = self._order(view)
        order.discard(key)

    def candidates(
        self, size: Size, rng: random.Random, *, tight: bool
    ) -> list[VmView]:
        """Give some VMs that have room.

        Parameters
        ----------
        size : Size
            What has to fit.
        rng : random.Random
            Source of the sample.
        tight : bool
            Whether to give those with the least room that suffices
            rather than a random sample.

        Returns
        -------
        list of VmView
            At most ``SAMPLED_VMS`` VMs, none without room.
        """
        if size.accelerators:
            return self._best_fits(self._accelerated, size)
        for order in (self._unaccelerated, self._accelerated):
            found = (
                self._best_fits(order, size)
                if tight
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
        roomiest = [self._views[key[2]] for key in order[-MAX_SCANNED_VMS:]]
        return [view for view in roomiest if size.fits(view.free)]

    def _sample_segments(
        self,
        order: SortedList[CapacityKey],
        first: int,
        count: int,
        rng: random.Random,
    ) -> list[CapacityKey]:
        # One look-up by place costs as much as many steps from there.
        length = MAX_CANDIDATES // SAMPLED_SEGMENTS
        keys: list[CapacityKey] = []
        for _ in range(SAMPLED_SEGMENTS):
            start = first + int(rng.random() * (count - length))
            keys.extend(order.islice(start, start + length))
        return list(dict.fromkeys(keys))
