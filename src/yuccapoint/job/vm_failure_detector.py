"""Finds the VMs that fell silent without walking over all of them."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from yuccapoint.job import lease_rules

if TYPE_CHECKING:
    from yuccapoint.job.vm_view import VmView


class VmFailureDetector:
    """A heap of the times at which each VM has to be looked at again.

    A VM stands in the heap once. When its time comes and it has reported
    since, it goes back with a later time, so that reports cost nothing.
    """

    def __init__(self) -> None:
        self._deadlines: list[tuple[float, str]] = []
        self._watched: dict[str, VmView] = {}

    def watch(self, view: VmView) -> None:
        """Look after a VM; nothing if it is looked after already."""
        if view.vm in self._watched:
            return
        self._watched[view.vm] = view
        heapq.heappush(self._deadlines, (_deadline_s(view), view.vm))

    def pop_failed(self, now_s: float) -> list[VmView]:
        """Take out the VMs that are silent and hold no lease any more."""
        found = []
        while self._deadlines and self._deadlines[0][0] < now_s:
            vm = self._deadlines[0][1]
            view = self._watched[vm]
            due_s = _deadline_s(view)
            if due_s >= now_s:
                heapq.heapreplace(self._deadlines, (due_s, vm))
                continue
            heapq.heappop(self._deadlines)
            del self._watched[vm]
            found.append(view)
        return found


def _deadline_s(view: VmView) -> float:
    silent_at_s = view.reported_at_s + lease_rules.VM_TIMEOUT_S
    return max(silent_at_s, view.granter_deadline_s)
