"""Deadlines of a process that stops as planned."""

from __future__ import annotations

# The platform checks readiness once a second and stops routing to an entry
# after two failed checks.
ACCEPT_S = 2.6
# Time in seconds before the process is killed: for answers to requests that
# the stop interrupts, and for the interpreter's exit.
ANSWER_MARGIN_S = 1.5
EXIT_MARGIN_S = 1.0


class StopDeadlines:
    """Steady times in seconds at which the steps of a stop are due.

    Parameters
    ----------
    started_s : float
        Steady time in seconds at which the stop began.
    grace_s : float
        Seconds after which the process is killed.

    Attributes
    ----------
    accept_until_s : float
        New connections are accepted until then.
    serve_until_s : float
        Requests are served until then; later ones and those in flight are
        answered unfinished.
    close_at_s : float
        Connections are closed then, even with a request on them.
    """

    __slots__ = ("accept_until_s", "close_at_s", "serve_until_s")

    def __init__(self, started_s: float, grace_s: float) -> None:
        serve_s = max(grace_s - ANSWER_MARGIN_S, grace_s * 0.4)
        close_s = max(grace_s - EXIT_MARGIN_S, grace_s * 0.5)
        self.accept_until_s = started_s + min(ACCEPT_S, serve_s)
        self.serve_until_s = started_s + serve_s
        self.close_at_s = started_s + close_s
