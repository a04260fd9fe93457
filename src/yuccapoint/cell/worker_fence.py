"""Order of a worker's instances in the fencing tokens of an agent's calls."""

from __future__ import annotations

# A fence is a start time in Unix milliseconds or above it; until 2039.
FENCE_BITS = 41
MAX_FENCE = 2**FENCE_BITS - 1
# Start times and refusals raise it no further, so that later instances can
# still get higher ones.
MAX_RAISED_FENCE = MAX_FENCE - 2**24
# After a refusal the fence is raised by this, doubled with each further one,
# as it isn't known which one the worker has seen.
FIRST_RAISE_MS = 1_000


class WorkerFence:
    """Numbers the instances of a worker so that each refuses former calls.

    A call without a response may be executed seconds later, by an instance
    that has restarted under the same id. It refuses the call if it has seen a
    higher number. The start time alone doesn't rise if the time of day is set
    back between two starts.

    Attributes
    ----------
    number : int
        Sent with the calls to the present instance, after the term. Calls to
        former instances in the same term by this agent had lower ones.
    """

    __slots__ = ("_raise_ms", "number")

    def __init__(self) -> None:
        self.number = 0
        self._raise_ms = FIRST_RAISE_MS

    def begin_instance(self, born_ms: int) -> None:
        """Take a number above those of all former instances."""
        born_ms = min(born_ms, MAX_RAISED_FENCE)
        self.number = min(max(born_ms, self.number + 1), MAX_FENCE)
        self._raise_ms = FIRST_RAISE_MS

    def begin_term(self, born_ms: int) -> None:
        """Start anew, as all calls of a later term have higher tokens."""
        self.number = 0
        self.begin_instance(born_ms)

    def on_refused(self) -> None:
        """Take a higher number, as the worker has seen a higher one.

        An agent that has restarted doesn't know the numbers of its
        predecessor.
        """
        raised = min(self.number + self._raise_ms, MAX_RAISED_FENCE)
        self.number = min(max(raised, self.number + 1), MAX_FENCE)
        self._raise_ms = min(2 * self._raise_ms, MAX_FENCE)
