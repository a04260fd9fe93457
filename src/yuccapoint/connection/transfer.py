"""Progress of one call over a connection."""

from __future__ import annotations

# What a response has to deliver within the timeout to count as progress; one
# that trickles would hold its caller for good.
MIN_PROGRESS_BYTES = 1_024


class Transfer:
    """Times and size of a call and its response so far.

    Parameters
    ----------
    sent_at_s : float
        When the call began, in seconds of the monotonic clock.
    wait_s : float
        How long the peer may hold the call, in seconds.
    deadline_s : float
        When the call times out, on the same clock.

    Attributes
    ----------
    due_at_s : float
        When the response, or its next part, is due.
    received_bytes : int
        Size of the part of the body that has arrived.
    """

    __slots__ = (
        "deadline_s",
        "due_at_s",
        "received_bytes",
        "_first_part_at_s",
        "_progress_bytes",
        "_sent_at_s",
    )

    def __init__(
        self, sent_at_s: float, wait_s: float, deadline_s: float
    ) -> None:
        self.deadline_s = deadline_s
        self.due_at_s = sent_at_s + wait_s
        self.received_bytes = 0
        self._sent_at_s = sent_at_s
        self._first_part_at_s: float | None = None
        self._progress_bytes = 0

    def on_head(self, now_s: float, stall_timeout_s: float) -> None:
        """Note that the response has begun.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.
        stall_timeout_s : float
            Time for the next part, in seconds; 0 if the whole call has to
            end by its deadline.
        """
        self._first_part_at_s = now_s
        self._extend(now_s, stall_timeout_s)

    def on_part(
        self, size_bytes: int, now_s: float, stall_timeout_s: float
    ) -> None:
        """Note a part of the body; see ``on_head``."""
        self.received_bytes += size_bytes
        self._progress_bytes += size_bytes
        if self._progress_bytes < MIN_PROGRESS_BYTES:
            return
        self._progress_bytes = 0
        self._extend(now_s, stall_timeout_s)

    def describe(self, now_s: float) -> str:
        """Return what tells a slow link from a silent peer or a busy loop."""
        received = "no response"
        if self._first_part_at_s is not None:
            began_s = self._first_part_at_s - self._sent_at_s
            received = (
                f"a response after {began_s:.2f} s,"
                f" {self.received_bytes} bytes of its body"
            )
        late_s = max(0.0, now_s - self.deadline_s)
        return (
            f"after {now_s - self._sent_at_s:.2f} s: {received};"
            f" event loop {late_s:.2f} s late"
        )

    def _extend(self, now_s: float, stall_timeout_s: float) -> None:
        if not stall_timeout_s:
            return
        self.due_at_s = now_s
        self.deadline_s = max(self.deadline_s, now_s + stall_timeout_s)
