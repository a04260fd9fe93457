"""Records that the leader writes at once, and their effects."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from yuccapoint.cell.task_run import TaskRun
    from yuccapoint.cell.vm_ledger import VmLedger


class CommitBatch:
    """Records, and the effects they have once they are stored.

    Attributes
    ----------
    records : list of tuple
        Keys and values; a value is None to drop the key.
    claims : list of tuple
        Claimed tasks and their run numbers.
    end_acks : list of tuple
        VMs, the start time of their worker, and the number of the last run
        end that is acknowledged to the worker.
    silent_vms : tuple or None
        The VMs that a renewal of the leadership among the records names as
        silent; None if there is no renewal.
    """

    __slots__ = ("claims", "end_acks", "records", "silent_vms")

    def __init__(self) -> None:
        self.records: list[tuple[str, bytes | None]] = []
        self.claims: list[tuple[TaskRun, int]] = []
        self.end_acks: list[tuple[VmLedger, int, int]] = []
        self.silent_vms: tuple[tuple[str, int], ...] | None = None
