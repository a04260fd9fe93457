"""Run an entry or an agent until a signal stops it."""

from __future__ import annotations

import asyncio
import signal
import sys
from typing import Protocol

from yuccapoint.console import exit_codes
from yuccapoint.exceptions import ListenError


class Stoppable(Protocol):
    """A process that can be started, stopped and killed."""

    def unfinished(self) -> list[str]:
        """List the work that would be lost by stopping now."""

    def kill(self) -> None:
        """Stop immediately and drop all work."""

    def start(self) -> None:
        """Start serving."""

    async def stop(self) -> list[str]:
        """Stop gracefully and return the work that was cut off."""


def run(process_class: type[Stoppable] | object, settings: object) -> int:
    """Run a process; the first signal drains it, the second kills it.

    Returns
    -------
    int
        The exit code.

    Raises
    ------
    ListenError
        An address of the settings is in use or not one of this VM.
    """
    return asyncio.run(_run(process_class, settings))


async def _run(process_class: object, settings: object) -> int:
    process: Stoppable = process_class(settings)  # type: ignore[operator]
    try:
        process.start()
    except ListenError:
        process.kill()
        raise
    except OSError as error:
        process.kill()
        raise ListenError(f"can't listen: {error}") from None
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    await stop_requested.wait()
    stop_requested.clear()
    stopping = asyncio.ensure_future(process.stop())
    second_signal = asyncio.ensure_future(stop_requested.wait())
    await asyncio.wait(
        (stopping, second_signal), return_when=asyncio.FIRST_COMPLETED
    )
    second_signal.cancel()
    if stopping.done():
        unfinished_work = stopping.result()
    else:
        unfinished_work = process.unfinished()
        stopping.cancel()
        process.kill()
    for line in unfinished_work:
        print(f"cut off: {line}", file=sys.stderr)
    return exit_codes.UNFINISHED_WORK if unfinished_work else exit_codes.OK
