"""Resource accounting of one VM."""

from __future__ import annotations

from yuccapoint.exceptions import YuccapointError
from yuccapoint.job.size import Size


class ReservationRefusedError(YuccapointError):
    """The reservation does not fit or its name is already in use."""


class ResourceAllocator:
    """Tracks the resources reserved on one VM.

    All tasks that the agent admits reserve their size here; nothing else
    commits resources of the VM.

    Parameters
    ----------
    capacity : Size
        Total resources of the VM.
    """

    def __init__(self, capacity: Size) -> None:
        self.capacity = capacity
        self.committed = Size()
        self._reservations: dict[str, Size] = {}

    @property
    def free(self) -> Size:
        """Resources that are not reserved."""
        return self.capacity - self.committed

    def reserve(self, name: str, size: Size) -> None:
        """Reserve a size under a unique name.

        Raises
        ------
        ReservationRefusedError
            The size exceeds the free resources, or the name is in use.
        """
        if name in self._reservations:
            raise ReservationRefusedError(f"{name} already has a reservation")
        if not size.valid or not size.fits(self.free):
            raise ReservationRefusedError(
                f"{size.millicores} millicores, {size.memory_bytes} bytes, "
                f"{size.accelerators} accelerators requested; "
                f"{self.free.millicores}, {self.free.memory_bytes}, "
                f"{self.free.accelerators} free"
            )
        self._reservations[name] = size
        self.committed = self.committed + size

    def release(self, name: str) -> None:
        """Release the reservation of a name, if there is one."""
        size = self._reservations.pop(name, None)
        if size is not None:
            self.committed = self.committed - size
