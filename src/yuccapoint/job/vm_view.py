"""What a leading entry knows of one VM."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.job.size import Size
from yuccapoint.job.vm_trust import VmTrust

if TYPE_CHECKING:
    from yuccapoint.job.interference.pair_table import PairTable


class VmView:
    """A VM: its last report and what its leader granted.

    Attributes
    ----------
    free : Size
        What may still be claimed: the report's room less the attempts
        claimed since.
    attempts : dict of str to int
        Attempt number by job, of the attempts that the report names.
    batch_classes : list of str
        Classes of the attempts on the VM and of those claimed for it.
    service : str
        Class of the service on the VM.
    pairs : PairTable or None
        What is known about interference; None where nothing is.
    claiming : dict of str to Size
        Sizes by job of the claims that the log has not decided yet.
    granted_until_s : float
        Until then the VM may run its tasks, on the entry's clock.
    """

    __slots__ = (
        "address",
        "attempts",
        "batch_classes",
        "capacity",
        "claiming",
        "data_centre",
        "free",
        "granted_until_s",
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
        "trust",
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
        self.attempts: dict[str, int] = {}
        self.batch_classes: list[str] = []
        self.service = ""
        self.pairs: PairTable | None = None
        self.incarnation = 0
        self.term = 0
        self.report_sequence = 0
        self.reported_at_s = 0.0
        self.granted_until_s = 0.0
        self.claiming: dict[str, Size] = {}
        self.trust = VmTrust()
        self.ready = False

    def count_free(self, missing: list[Size], reserve: Size) -> None:
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
        for size in self.claiming.values():
            free = free - size
        self.free = free
