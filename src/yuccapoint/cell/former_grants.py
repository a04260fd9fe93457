"""Bounds of the leases that former leaders have granted."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.cell import lease_bounds

if TYPE_CHECKING:
    from collections.abc import Iterable


class FormerGrants:
    """Tells when the leases granted before a takeover have expired.

    A leader grants leases for a limited time after it sent its last renewal,
    and none to the VMs that this renewal names as silent.

    Parameters
    ----------
    renewed_at_s : float
        Steady time in seconds at which the last renewal of the former leader
        was read, or a later one.
    silent_vms : iterable of tuple
        The VMs that this renewal names as silent, each with the milliseconds
        until its leases have expired.
    """

    __slots__ = ("_silent_until_s", "renewed_at_s")

    def __init__(
        self, renewed_at_s: float, silent_vms: Iterable[tuple[str, int]] = ()
    ) -> None:
        self.renewed_at_s = renewed_at_s
        self._silent_until_s = {
            vm: lease_bounds.remaining_until_s(renewed_at_s, remaining_ms)
            for vm, remaining_ms in silent_vms
        }

    def is_silent(self, vm: str) -> bool:
        """Return whether the former leader granted a VM no lease any more."""
        return vm in self._silent_until_s

    def until_s(self, vm: str) -> float:
        """Return when the leases of a VM have expired for certain.

        Parameters
        ----------
        vm : str
            Name of the VM.

        Returns
        -------
        float
            Steady time in seconds.
        """
        silent_until_s = self._silent_until_s.get(vm)
        if silent_until_s is None:
            return lease_bounds.former_grants_until_s(self.renewed_at_s)
        # It may be later than any grant, by a lease for a former instance.
        return silent_until_s
