"""What the leader writes to the store at once, and what waits for it."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from yuccapoint.cell.job_run import TaskRun
    from yuccapoint.cell.vm_ledger import VmLedger


class CommitBatch:
    """Records and their effects once they are in the store.

    Attributes
    ----------
    records : list of tuple
        Keys and values; a value is None to drop the key.
    claims : list of tuple
        Tasks with the run that is claimed.
    end_acks : list of tuple
        VMs, the incarnation of their worker, and the number up to which
        the worker may forget ends.
    """

    __slots__ = ("claims", "end_acks", "records")

    def __init__(self) -> None:
        self.records: list[tuple[str, bytes | None]] = []
        self.claims: list[tuple[TaskRun, int]] = []
        self.end_acks: list[tuple[VmLedger, int, int]] = []
