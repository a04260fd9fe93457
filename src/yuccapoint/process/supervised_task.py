"""Background tasks whose failure is not lost."""

from __future__ import annotations

import asyncio
import traceback
from typing import Any
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from yuccapoint.process.process_logger import ProcessLogger


def supervise(
    job: Coroutine[Any, Any, None],
    logger: ProcessLogger,
    failed: asyncio.Event,
) -> asyncio.Task[None]:
    """Run a part of a process in the background.

    A part that fails leaves the process half alive, so its failure is
    logged and the process is asked to start anew.

    Parameters
    ----------
    job : coroutine
        Runs until it is cancelled.
    logger : ProcessLogger
        Where a failure is said.
    failed : asyncio.Event
        Set after a failure.
    """

    async def run() -> None:
        try:
            await job
        except Exception:  # noqa: BLE001
            logger.log("process", "failed", error=traceback.format_exc())
            failed.set()

    return asyncio.ensure_future(run())
