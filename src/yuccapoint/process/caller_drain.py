"""Ends the service of a process to its callers without aborting requests."""

from __future__ import annotations

import asyncio
from typing import Protocol
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from yuccapoint.process.process_logger import ProcessLogger
    from yuccapoint.process.stop_deadlines import StopDeadlines

POLL_INTERVAL_S = 0.02
# Turns of the event loop after the end of service in which requests that wait
# unread are read and answered, also if the deadlines have passed by then.
LAST_TURNS = 3


class CallerService(Protocol):
    """Serves callers on connections that they keep open."""

    @property
    def in_flight(self) -> int:
        """Number of requests without a response so far."""

    @property
    def open_connections(self) -> int:
        """Number of callers' connections that are open."""

    def stop_listening(self) -> None:
        """Accept no new connections; open ones are still served."""

    def close_idle_connections(self) -> int:
        """Close connections without a request; return how many are left."""

    def end_service(self) -> None:
        """Answer the requests in flight, and refuse those that follow."""

    def close_all_connections(self) -> None:
        """Close all connections at once."""


async def drain_callers(
    service: CallerService, deadlines: StopDeadlines, logger: ProcessLogger
) -> None:
    """Serve callers until all their connections are closed.

    A caller may send on an open connection until it is closed, so that each
    one is closed at a moment at which nothing has arrived on it.

    Parameters
    ----------
    service : CallerService
        Serves the callers.
    deadlines : StopDeadlines
        Steady times in seconds of the steps, on the clock of the event loop.
    logger : ProcessLogger
        Receives the log lines.
    """
    loop = asyncio.get_running_loop()
    await asyncio.sleep(deadlines.accept_until_s - loop.time())
    # Connections that wait to be accepted need descriptors.
    service.close_idle_connections()
    service.stop_listening()
    logger.log(
        "callers",
        "listener closed",
        open_connections=service.open_connections,
        in_flight=service.in_flight,
    )
    serves = True
    turns_left = LAST_TURNS
    while service.close_idle_connections():
        now_s = loop.time()
        if serves and now_s >= deadlines.serve_until_s:
            serves = False
            logger.log(
                "callers",
                "service ended; requests in flight are answered unfinished",
                in_flight=service.in_flight,
            )
            service.end_service()
        if not turns_left and now_s >= deadlines.close_at_s:
            break
        turns_left -= int(not serves and turns_left > 0)
        await asyncio.sleep(POLL_INTERVAL_S)
    logger.log(
        "callers",
        "connections closed",
        cut=service.open_connections,
        in_flight=service.in_flight,
    )
    service.close_all_connections()
