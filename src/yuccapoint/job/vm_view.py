"""A leading entry's view of one VM."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.job.size import Size
from yuccapoint.job.vm_quarantine import VmQuarantine

if TYPE_CHECKING:
    from yuccapoint.connection.messages import AgentReport
    from yuccapoint.job.interference.pair_table import PairTable


class VmView:
    """The last report of a VM and the lease its leader granted.

    Attributes
    ----------
    free : Size
        Resources available for claims: those free in the last report less
        the attempts that were claimed since.
    reported_attempts : dict of str to int
        Attempt number by job id, from the last report.
    batch_classes : list of str
        Job classes of the attempts that run on the VM or are claimed for
        it.
    service : str
        Service class of the VM.
    pairs : PairTable or None
        Interference estimates; None before the first report.
    pending_claims : dict of str to Size
        Size by job id of the claims that are not read back from the log.
    granter_deadline_s : float
        End of the VM's lease on the entry's monotonic clock.
    """

    __slots__ = (
        "address",
        "batch_classes",
        "capacity",
        "data_centre",
        "free",
        "granter_deadline_s",
        "incarnation",
        "pairs",
        "pending_claims",
        "pool",
        "quarantine",
        "rack",
        "ready",
        "report_sequence",
        "reported_at_s",
        "reported_attempts",
        "reported_free",
        "service",
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

    def apply(self, report: AgentReport, now_s: float) -> bool:
        """Apply an agent's report; return whether it is the newest."""
        if report.incarnation < self.incarnation:
            return False
        if report.incarnation > self.incarnation:
            self.incarnation = report.incarnation
            self.report_sequence = 0
        if report.sequence < self.report_sequence:
            return False
        self.report_sequence = report.sequence
        self.reported_at_s = now_s
        self.pool = report.pool
        self.rack = report.rack
        self.data_centre = report.data_centre
        self.address = report.control_address
        self.capacity = report.capacity
        self.reported_free = report.free
        self.ready = report.ready and not report.stopping
        self.term = report.term
        self.reported_attempts = {t.job_id: t.attempt for t in report.tasks}
        return True

    def update_free(self, unreported: list[Size], reserve: Size) -> None:
        """Recompute the free resources.

        Parameters
        ----------
        unreported : list of Size
            Sizes of the attempts claimed for the VM that are missing from
            its report.
        reserve : Size
            Resources kept free of batch work.
        """
        free = self.reported_free - reserve
        for size in unreported:
            free = free - size
        for size in self.pending_claims.values():
            free = free - size
        self.free = free
