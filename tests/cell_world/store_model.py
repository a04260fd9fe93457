"""Simulated store of a cell."""

from __future__ import annotations


class StoreModel:
    """A partition that fences writers by epoch."""

    def __init__(self) -> None:
        self.records: list[tuple[str, bytes | None]] = []
        self.down = False
        self._epoch = 0
        self._sequence = 0

    def append(
        self,
        records: list[tuple[str, bytes | None]],
        epoch: int = 0,
        sequence: int = 0,
    ) -> str:
        """Return ``done``, ``fenced``, ``sequence`` or ``refused``."""
        if self.down:
            return "refused"
        if epoch:
            if epoch < self._epoch:
                return "fenced"
            if epoch == self._epoch and sequence != self._sequence + 1:
                # A repeat gets the same answer and is not appended again.
                return "done" if sequence == self._sequence else "sequence"
            self._epoch, self._sequence = epoch, sequence
        self.records.extend(records)
        return "done"
