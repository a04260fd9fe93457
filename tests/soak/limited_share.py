"""Limits a process's share of a core by stopping and continuing it."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from soak.world import World

PERIOD_S = 0.1


async def limit_share(world: World, name: str, held_up_share: float) -> None:
    """Hold a process up for a share of each period until it is gone."""
    while world.alive(name):
        if held_up_share:
            world.signal(name, signal.SIGSTOP)
            await asyncio.sleep(PERIOD_S * held_up_share)
            world.signal(name, signal.SIGCONT)
        await asyncio.sleep(PERIOD_S * (1 - held_up_share))
