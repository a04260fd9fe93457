"""Report of an agent on crashes of its worker."""

from __future__ import annotations

import msgspec


class CrashSuspect(msgspec.Struct, frozen=True, array_like=True):
    """A run that may have crashed the worker.

    ``started`` is set if the worker answered the start or listed the run;
    otherwise the worker may have crashed before the start arrived.
    ``doubtful`` is set if it had left a poll unanswered before the start, or
    had listed the run some time after.
    """

    task_id: str
    run: int
    started: bool
    doubtful: bool = False


class CrashReport(
    msgspec.Struct, frozen=True, tag="cr", array_like=True, kw_only=True
):
    """Which runs may have crashed the worker, and which did not.

    Repeated with the agent's reports for a while, and may arrive late.

    Attributes
    ----------
    crashes : tuple
        For each crash, the runs that may have started shortly before.
    proven : tuple
        Runs, by task and run, that the worker listed long enough after
        their start.
    """

    vm: str
    incarnation: int
    crashes: tuple[tuple[CrashSuspect, ...], ...]
    proven: tuple[tuple[str, int], ...]
