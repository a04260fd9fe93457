"""Detection of VMs that stopped reporting."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from yuccapoint.job import lease_rules

if TYPE_CHECKING:
    from yuccapoint.job.vm_view import VmView


class VmFailureDetector:
    """Finds failed VMs without scanning all of them.

    A VM has failed when it stopped reporting and its lease has expired.
    Deadlines are kept in a heap with one item per VM. An item that comes
    due is rescheduled if the VM has reported in the meantime, so that a
    report never touches the heap.
    """

    def __init__(self) -> None:
        self._deadlines: list[tuple[float, str]] = []
        self._watched: dict[str, VmView] = {}

    def watch(self, view: VmView) -> None:
        """Start watching a VM; no effect if it is already watched."""
        if view.vm in self._watched:
            return
        self._watched[view.vm] = view
        heapq.heappush(self._deadlines, (_deadline_s(view), view.vm))

    def pop_failed(self, now_s: float) -> list[VmView]:
        """Return the failed VMs and stop watching them."""
        failed = []
        while self._deadlines and self._deadlines[0][0] < now_s:
            vm = self._deadlines[0][1]
            view = self._watched[vm]
            due_s = _deadline_s(view)
            if due_s >= now_s:
                heapq.heapreplace(self._deadlines, (due_s, vm))
                continue
            heapq.heappop(self._deadlines)
            del self._watched[vm]
            failed.append(view)
        return failed


def _deadline_s(view: VmView) -> float:
    silent_at_s = view.reported_at_s + lease_rules.VM_TIMEOUT_S
    return max(silent_at_s, view.granter_deadline_s)
