"""VMs that a leader's renewals name as silent."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from yuccapoint.cell import lease_bounds

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from yuccapoint.cell.vm_ledger import VmLedger


class SilentVms:
    """Selects the VMs that get no lease until a later renewal is stored.

    The next leader then knows when the leases of these VMs expire. Otherwise
    each change of the leader would prolong the time for which the tasks of a
    lost VM stay claimed.

    Parameters
    ----------
    took_over_at_s : float
        Steady time of the takeover in seconds. VMs report to a new leader
        with a delay.
    explain : callable
        Logs a decision: its part, text and fields.
    """

    __slots__ = ("_explain", "_took_over_at_s")

    def __init__(
        self, took_over_at_s: float, explain: Callable[..., None]
    ) -> None:
        self._took_over_at_s = took_over_at_s
        self._explain = explain

    def collect(
        self, vms: Iterable[VmLedger], now_s: float
    ) -> tuple[tuple[str, int], ...]:
        """Return the VMs to name in a renewal that is sent now.

        Parameters
        ----------
        vms : iterable of VmLedger
            All VMs. Those that are named get no lease from now on.
        now_s : float
            Steady time in seconds.

        Returns
        -------
        tuple
            Names, each with the milliseconds until its leases have expired.
        """
        named = []
        for vm in vms:
            if not self._is_to_be_named(vm, now_s):
                continue
            leased_ms = math.ceil((vm.leased_until_s - now_s) * 1000)
            named.append((vm.name, leased_ms))
            if vm.named_silent:
                continue
            vm.named_silent = True
            self._explain(
                "vm",
                "silent; gets no lease until a renewal tells that it is back",
                vm=vm.name,
                silent_ms=round((now_s - self._heard_at_s(vm)) * 1000),
                leased_ms=leased_ms,
            )
        return tuple(named)

    def has_changed(self, vms: Iterable[VmLedger], now_s: float) -> bool:
        """Return whether a renewal would name other VMs than the last."""
        for vm in vms:
            if vm.named_silent and not self._is_silent(vm, now_s):
                return True
            if not vm.named_silent and self._is_to_be_named(vm, now_s):
                return True
        return False

    def on_renewed(
        self, vms: Iterable[VmLedger], named: tuple[tuple[str, int], ...]
    ) -> None:
        """Allow leases for the VMs that a stored renewal doesn't name.

        Parameters
        ----------
        vms : iterable of VmLedger
            All VMs.
        named : tuple
            What ``collect`` returned for the renewal.
        """
        names = {name for name, _ in named}
        for vm in vms:
            if not vm.named_silent or vm.name in names:
                continue
            vm.named_silent = False
            vm.orders_due = True
            self._explain(
                "vm",
                "reports again, or its leases have expired; may get leases",
                vm=vm.name,
            )

    def _is_to_be_named(self, vm: VmLedger, now_s: float) -> bool:
        """Return whether a silent VM has claims under a lease."""
        if not vm.claims or now_s >= vm.leased_until_s:
            return False
        return self._is_silent(vm, now_s)

    def _is_silent(self, vm: VmLedger, now_s: float) -> bool:
        if vm.named_silent and not vm.heard_at_s:
            # A former leader named it.
            return True
        silent_s = now_s - self._heard_at_s(vm)
        return silent_s >= lease_bounds.SILENT_AFTER_S

    def _heard_at_s(self, vm: VmLedger) -> float:
        return max(vm.heard_at_s, self._took_over_at_s)
