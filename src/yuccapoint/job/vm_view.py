"""What a leading entry knows of one VM."""

from __future__ import annotations

from yuccapoint.job.size import Size


class VmView:
    """A VM: its last report and what its leader granted.

    Attributes
    ----------
    free : Size
        What may still be claimed: the report's room less the attempts
        claimed since.
    attempts : dict of str to int
        Attempt number by job, of the attempts that the report names.
    granted_until_s : float
        Until then the VM may run its tasks, on the entry's clock.
    """

    __slots__ = (
        "address",
        "attempts",
        "capacity",
        "data_centre",
        "free",
        "granted_until_s",
        "incarnation",
        "pool",
        "quarantined_until_s",
        "rack",
        "ready",
        "report_sequence",
        "reported_at_s",
        "reported_free",
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
        self.incarnation = 0
        self.term = 0
        self.report_sequence = 0
        self.reported_at_s = 0.0
        self.granted_until_s = 0.0
        self.quarantined_until_s = 0.0
        self.start_failures = 0
        self.ready = False
