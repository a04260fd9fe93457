"""What a leading entry knows of one VM."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.job.size import Size

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
    granted_until_s : float
        Until then the VM may run its tasks, on the entry's clock.
    """

    __slots__ = (
        "address",
        "attempts",
        "batch_classes",
        "capacity",
        "data_centre",
        "free",
        "granted_until_s",
        "incarnation",
        "pairs",
        "pool",
        "quarantined_until_s",
        "rack",
        "ready",
        "report_sequence",
        "reported_at_s",
        "reported_free",
        "service",
        "start_failures",
        "term",
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
        self.quarantined_until_s = 0.0
        self.start_failures = 0
        self.ready = False
