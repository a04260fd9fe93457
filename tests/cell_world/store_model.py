"""The store as the cell sees it."""

from __future__ import annotations


class StoreModel:
    """One partition that fences writers by epoch."""

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
        """Give ``done``, ``fenced``, ``sequence`` or ``refused``."""
        if self.down:
            return "refused"
        if epoch:
            if epoch < self._epoch:
                return "fenced"
            if epoch == self._epoch and sequence != self._sequence + 1:
                # A repeat is answered as the first time, and not appended.
                return "done" if sequence == self._sequence else "sequence"
            self._epoch, self._sequence = epoch, sequence
        self.records.extend(records)
        return "done"
