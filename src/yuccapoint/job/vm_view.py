"""What a leading entry knows of one VM."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.job.size import Size
from yuccapoint.job.vm_quarantine import VmQuarantine

if TYPE_CHECKING:
    from yuccapoint.job.interference.pair_table import PairTable


class VmView:
    """A VM: its last report and what its leader granted.

    Attributes
    ----------
    free : Size
        What may still be claimed: the report's room less the attempts
        claimed since.
    reported_attempts : dict of str to int
        Attempt number by job, of the attempts that the report names.
    batch_classes : list of str
        Classes of the attempts on the VM and of those claimed for it.
    service : str
        Class of the service on the VM.
    pairs : PairTable or None
        What is known about interference; None where nothing is.
    pending_claims : dict of str to Size
        Sizes by job of the claims that the log has not decided yet.
    granter_deadline_s : float
        Until then the VM may run its tasks, on the entry's clock.
    """

    __slots__ = (
        "address",
        "reported_attempts",
        "batch_classes",
        "capacity",
        "pending_claims",
        "data_centre",
        "free",
        "granter_deadline_s",
        "incarnation",
        "pairs",
        "pool",
        "rack",
        "ready",
        "report_sequence",
        "reported_at_s",
        "reported_free",
        "service",
        "term",
        "quarantine",
        "vm",
    )

    def __init__(self, vm: str) -> None:
        self.vm = vm
        self.pool = ""
        self.rack = ""
        self.data_centre = ""
        self.address = ""
        self.capacity = Size()
        self.free = Size()
        self.reported_free = Size()
        self.reported_attempts: dict[str, int] = {}
        self.batch_classes: list[str] = []
        self.service = ""
        self.pairs: PairTable | None = None
        self.incarnation = 0
        self.term = 0
        self.report_sequence = 0
        self.reported_at_s = 0.0
        self.granter_deadline_s = 0.0
        self.pending_claims: dict[str, Size] = {}
        self.quarantine = VmQuarantine()
        self.ready = False

    def update_free(self, missing: list[Size], reserve: Size) -> None:
        """Count the room anew.

        Parameters
        ----------
        missing : list of Size
            Attempts claimed for the VM that its report does not name.
        reserve : Size
            Kept free of batch work.
        """
        free = self.reported_free - reserve
        for size in missing:
            free = free - size
        for size in self.pending_claims.values():
            free = free - size
        self.free = free
