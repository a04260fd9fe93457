"""State of a VM's interference guard."""

from __future__ import annotations

import enum


class GuardState(enum.Enum):
    """State of an interference guard.

    ``NORMAL``: all tasks run at full share. ``THROTTLED``: at least one
    task is throttled. ``MOVING``: a task is being checkpointed and
    evicted, for the leader to place it on another VM. ``STOPPED``:
    evictions were not enough; the tasks stay at the minimum share and the
    VM accepts no new batch work.
    """

    NORMAL = "normal"
    THROTTLED = "throttled"
    MOVING = "moving"
    STOPPED = "stopped"
