"""States of a VM's interference guard."""

from __future__ import annotations

import enum


class GuardState(enum.Enum):
    """What the guard is doing on its VM.

    ``NORMAL``: all tasks run at full share. ``THROTTLED``: some are
    limited. ``MOVING``: one is checkpointed and released, so that the
    leader places it elsewhere. ``STOPPED``: moving was not enough; all
    tasks are at the least share and the VM takes no new batch work.
    """

    NORMAL = "normal"
    THROTTLED = "throttled"
    MOVING = "moving"
    STOPPED = "stopped"
