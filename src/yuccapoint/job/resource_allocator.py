"""The agent's ledger: the only place that commits its VM."""

from __future__ import annotations

from yuccapoint.exceptions import YuccapointError
from yuccapoint.job.size import Size


class ReservationRefusedError(YuccapointError):
    """The VM has no room for the size."""


class ResourceAllocator:
    """What is committed on one VM, in whole units.

    Parameters
    ----------
    capacity : Size
        What the VM holds.
    """

    def __init__(self, capacity: Size) -> None:
        self.capacity = capacity
        self.committed = Size()
        self._reservations: dict[str, Size] = {}

    @property
    def free(self) -> Size:
        """What may still be committed."""
        return self.capacity - self.committed

    def reserve(self, name: str, size: Size) -> None:
        """Commit a size under a name.

        Raises
        ------
        ReservationRefusedError
            The VM does not hold it, or the name is taken.
        """
        if name in self._reservations:
            raise ReservationRefusedError(f"{name} is committed already")
        if not size.valid or not size.fits(self.free):
            raise ReservationRefusedError(
                f"{size.millicores} millicores, {size.memory_bytes} bytes, "
                f"{size.accelerators} accelerators asked; "
                f"{self.free.millicores}, {self.free.memory_bytes}, "
                f"{self.free.accelerators} free"
            )
        self._reservations[name] = size
        self.committed = self.committed + size

    def release(self, name: str) -> None:
        """Give back what a name holds; nothing if it holds nothing."""
        size = self._reservations.pop(name, None)
        if size is not None:
            self.committed = self.committed - size
