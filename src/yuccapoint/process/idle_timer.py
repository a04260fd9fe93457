"""Time for which a stopping entry has received no request."""

from __future__ import annotations

# A check this late shows that the event loop was held up.
MAX_CHECK_INTERVAL_S = 0.1


class IdleTimer:
    """Counts the time without a request in which the process could read one.

    While the event loop is held up, requests wait in sockets that it has not
    read; an exit then would close their connections without a response.

    Parameters
    ----------
    now_s : float
        Steady time in seconds.
    """

    __slots__ = ("_checked_at_s", "_idle_s", "_last_request_at_s")

    def __init__(self, now_s: float) -> None:
        self._checked_at_s = now_s
        self._last_request_at_s = now_s
        self._idle_s = 0.0

    def check(
        self, now_s: float, in_flight: int, last_request_at_s: float
    ) -> float:
        """Return for how long no request has been received or served.

        Parameters
        ----------
        now_s : float
            Steady time in seconds.
        in_flight : int
            Requests without a response.
        last_request_at_s : float
            Steady time in seconds at which the last request arrived.
        """
        passed_s = now_s - self._checked_at_s
        self._checked_at_s = now_s
        if in_flight or last_request_at_s > self._last_request_at_s:
            self._last_request_at_s = last_request_at_s
            self._idle_s = 0.0
            return 0.0
        if passed_s <= MAX_CHECK_INTERVAL_S:
            self._idle_s += passed_s
        return self._idle_s
