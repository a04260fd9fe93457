"""Runs an entry or an agent until a signal stops it."""

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
        """List what would be cut off by an end now."""

    def kill(self) -> None:
        """Drop everything at once."""

    def start(self) -> None:
        """Start to serve."""

    async def stop(self) -> list[str]:
        """Stop as planned and say what was cut."""


def run(make: type[Stoppable] | object, settings: object) -> int:
    """Run a process; the first signal drains it, the second ends it.

    Returns
    -------
    int
        The exit code.

    Raises
    ------
    ListenError
        An address of the settings is taken or not of this VM.
    """
    return asyncio.run(_run(make, settings))


async def _run(make: object, settings: object) -> int:
    process: Stoppable = make(settings)  # type: ignore[operator]
    try:
        process.start()
    except ListenError:
        process.kill()
        raise
    except OSError as error:
        process.kill()
        raise ListenError(f"can't listen: {error}") from None
    loop = asyncio.get_running_loop()
    asked = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, asked.set)
    await asked.wait()
    asked.clear()
    stopping = asyncio.ensure_future(process.stop())
    second = asyncio.ensure_future(asked.wait())
    await asyncio.wait((stopping, second), return_when=asyncio.FIRST_COMPLETED)
    second.cancel()
    if stopping.done():
        cut = stopping.result()
    else:
        cut = process.unfinished()
        stopping.cancel()
        process.kill()
    for line in cut:
        print(f"cut off: {line}", file=sys.stderr)
    return exit_codes.UNFINISHED_WORK if cut else exit_codes.OK
