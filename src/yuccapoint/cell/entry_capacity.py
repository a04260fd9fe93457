"""What the machine of an entry can carry."""

from __future__ import annotations

import msgspec

# Smaller differences don't matter: a change of the leader has a cost.
MIN_RATIO = 1.5


class EntryCapacity(msgspec.Struct, frozen=True, array_like=True):
    """Processor and link of an entry's machine.

    Attributes
    ----------
    millicores : int
        Thousandths of a processor; 0 if not known.
    link_kbps : int
        Rate of its link in kbit/s; 0 if not known.
    """

    millicores: int = 0
    link_kbps: int = 0

    @property
    def is_known(self) -> bool:
        """Whether both figures are known."""
        return self.millicores > 0 and self.link_kbps > 0

    def exceeds(self, other: EntryCapacity) -> bool:
        """Return whether this machine carries much more than another.

        A machine with the faster processor and the slower link neither
        exceeds the other nor is exceeded, so that no two entries replace
        each other as the leader.
        """
        if not self.is_known or not other.is_known:
            return False
        processor_ratio = self.millicores / other.millicores
        link_ratio = self.link_kbps / other.link_kbps
        if min(processor_ratio, link_ratio) < 1.0:
            return False
        return max(processor_ratio, link_ratio) >= MIN_RATIO
