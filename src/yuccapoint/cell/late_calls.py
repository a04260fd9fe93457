"""Calls to a worker that were not answered and may still be executed."""

from __future__ import annotations

# Longest time after which the platform's workers still execute a call that
# was not answered, with a margin.
MAX_CALL_DELAY_S = 13.0

RunKey = tuple[str, int]


class LateCalls:
    """Tracks starts and acknowledgements that a later instance may execute."""

    __slots__ = (
        "_ack_until_s",
        "_former_acks_until_s",
        "_pending_acks",
        "_starts_until_s",
    )

    def __init__(self) -> None:
        # Until when an unanswered start may still be executed, by its run. It
        # outlives the run and the instance of the worker.
        self._starts_until_s: dict[RunKey, float] = {}
        # Polls with an acknowledgement that are neither answered nor failed.
        self._pending_acks = 0
        # Until when an unanswered acknowledgement may still be executed.
        self._ack_until_s = 0.0
        # The same for acknowledgements meant for the former instance.
        self._former_acks_until_s = 0.0

    def begin_instance(self, now_s: float, *, same_id: bool) -> list[RunKey]:
        """Return the starts that may reach a new instance.

        Parameters
        ----------
        now_s : float
            Steady time in seconds.
        same_id : bool
            Whether the new instance has the id of its predecessor; another
            one executes none of its calls.
        """
        if self._pending_acks:
            self._ack_until_s = now_s + MAX_CALL_DELAY_S
        if not same_id:
            self._starts_until_s = {}
            self._ack_until_s = 0.0
        self._former_acks_until_s = self._ack_until_s
        return [
            key
            for key, until_s in self._starts_until_s.items()
            if now_s <= until_s
        ]

    def note_start(self, key: RunKey, now_s: float) -> None:
        """Note a start that was not answered."""
        self._starts_until_s[key] = now_s + MAX_CALL_DELAY_S

    def discard_past(self, now_s: float) -> None:
        """Drop the starts that are not executed any more."""
        for key, until_s in list(self._starts_until_s.items()):
            if now_s > until_s:
                del self._starts_until_s[key]

    def may_get_former_ack(self, now_s: float) -> bool:
        """Return whether an acknowledgement meant for another may arrive."""
        return now_s <= self._former_acks_until_s

    def on_own_call_answered(self) -> None:
        """Note that the present instance answered a call meant for it."""
        self._former_acks_until_s = 0.0

    def on_ack_sent(self) -> None:
        """Note that an acknowledgement is sent."""
        self._pending_acks += 1

    def on_ack_answered(self) -> None:
        """Note that an acknowledgement was answered."""
        self._pending_acks -= 1

    def on_ack_unanswered(self, now_s: float) -> None:
        """Note that an acknowledgement may still be executed."""
        self._pending_acks -= 1
        self._ack_until_s = now_s + MAX_CALL_DELAY_S
