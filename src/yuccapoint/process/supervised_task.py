"""Background tasks whose failure stops the process."""

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
    """Run a component of a process as a supervised background task.

    A failed component leaves the process partly working. Its failure is
    logged and signalled, and the process has to be restarted.

    Parameters
    ----------
    job : coroutine
        Runs until it is cancelled.
    logger : ProcessLogger
        Receives the log line of a failure.
    failed : asyncio.Event
        Set after a failure.
    """

    async def run() -> None:
        try:
            await job
        except Exception:  # noqa: BLE001
            logger.log(
                "process",
                "component failed; restart required",
                error=traceback.format_exc(),
            )
            failed.set()

    return asyncio.ensure_future(run())
