"""The VMs of a pool ordered by their room."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from sortedcontainers import SortedList

if TYPE_CHECKING:
    import random

    from yuccapoint.job.size import Size
    from yuccapoint.job.vm_view import VmView

SAMPLED_VMS = 12
SAMPLED_RUNS = 3
SCANNED_VMS = 32

Key = tuple[int, int, str]


class VmRooms:
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
        self._keys: dict[str, Key] = {}
        self._plain: SortedList[Key] = SortedList()
        self._accelerated: SortedList[Key] = SortedList()

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
        self.drop(view.vm)
        self._views[view.vm] = view
        self._keys[view.vm] = key
        self._order(view).add(key)

    def drop(self, vm: str) -> None:
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
            return self._tightest(self._accelerated, size)
        for order in (self._plain, self._accelerated):
            found = (
                self._tightest(order, size)
                if tight
                else self._sample(order, size, rng)
            )
            if found:
                return found
        return []

    def _order(self, view: VmView) -> SortedList[Key]:
        if view.capacity.accelerators:
            return self._accelerated
        return self._plain

    def _tightest(self, order: SortedList[Key], size: Size) -> list[VmView]:
        found: list[VmView] = []
        least = (size.accelerators, size.millicores, "")
        for key in itertools.islice(order.irange(least), SCANNED_VMS):
            view = self._views[key[2]]
            if size.fits(view.free):
                found.append(view)
            if len(found) >= SAMPLED_VMS:
                return found
        return found

    def _sample(
        self, order: SortedList[Key], size: Size, rng: random.Random
    ) -> list[VmView]:
        first = order.bisect_left((0, size.millicores, ""))
        count = len(order) - first
        if count <= SCANNED_VMS:
            keys = list(order[first:])
        else:
            keys = self._runs(order, first, count, rng)
        found = [self._views[key[2]] for key in keys]
        found = [view for view in found if size.fits(view.free)]
        if found or count <= SCANNED_VMS:
            return found
        roomiest = [self._views[key[2]] for key in order[-SCANNED_VMS:]]
        return [view for view in roomiest if size.fits(view.free)]

    def _runs(
        self,
        order: SortedList[Key],
        first: int,
        count: int,
        rng: random.Random,
    ) -> list[Key]:
        # One look-up by place costs as much as many steps from there.
        length = SAMPLED_VMS // SAMPLED_RUNS
        keys: list[Key] = []
        for _ in range(SAMPLED_RUNS):
            start = first + int(rng.random() * (count - length))
            keys.extend(order.islice(start, start + length))
        return list(dict.fromkeys(keys))
