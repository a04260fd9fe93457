"""Regular log line of a leader that tells what keeps it busy."""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from yuccapoint.process.metrics import Metrics
    from yuccapoint.process.process_logger import ProcessLogger

# Interval between two lines, in seconds.
LOG_INTERVAL_S = 2.0
MS_PER_S = 1_000


class Traffic(Protocol):
    """Totals of a control channel since it was opened."""

    sent_bytes: int
    received_bytes: int
    dropped_messages: int


class TermStatistics:
    """Sums up the work of a leader between two log lines.

    A late loop with long rounds points to the processor, late appends and
    reads with a loop that is on time to the link.

    Parameters
    ----------
    traffic : Traffic
        The control channel.
    logger : ProcessLogger
        Receives the log lines.
    metrics : Metrics
        Metrics of the process.
    """

    __slots__ = (
        "_began_at_s",
        "_claims",
        "_logger",
        "_longest_append_s",
        "_longest_loop_delay_s",
        "_longest_round_s",
        "_metrics",
        "_orders",
        "_reports",
        "_rounds",
        "_rounds_s",
        "_totals",
        "_traffic",
    )

    def __init__(
        self, traffic: Traffic, logger: ProcessLogger, metrics: Metrics
    ) -> None:
        self._traffic = traffic
        self._logger = logger
        self._metrics = metrics
        self.begin(0.0)

    def begin(self, now_s: float) -> None:
        """Begin to count at a steady time in seconds."""
        self._began_at_s = now_s
        self._rounds = 0
        self._rounds_s = 0.0
        self._longest_round_s = 0.0
        self._longest_loop_delay_s = 0.0
        self._longest_append_s = 0.0
        self._claims = 0
        self._orders = 0
        self._reports = 0
        self._totals = self._read_totals()

    def on_round(self, spent_s: float) -> None:
        """Count a scheduling round and its duration in seconds."""
        self._rounds += 1
        self._rounds_s += spent_s
        self._longest_round_s = max(self._longest_round_s, spent_s)

    def on_pause(self, late_s: float) -> None:
        """Note how late the loop resumed after a pause, in seconds."""
        self._longest_loop_delay_s = max(self._longest_loop_delay_s, late_s)

    def on_stored(self, took_s: float, claims: int) -> None:
        """Count a stored batch.

        Parameters
        ----------
        took_s : float
            Time from the start of its append to the answer, in seconds.
        claims : int
            Claims that it holds.
        """
        self._longest_append_s = max(self._longest_append_s, took_s)
        self._claims += claims

    def on_orders(self, messages: int) -> None:
        """Count messages with orders."""
        self._orders += messages

    def on_report(self) -> None:
        """Count a report of a VM."""
        self._reports += 1

    def log_if_due(
        self, term: int, now_s: float, *, unread_s: float, records_behind: int
    ) -> None:
        """Write the line and begin anew once the interval has passed.

        Parameters
        ----------
        term : int
            Term of the leader.
        now_s : float
            Steady time in seconds.
        unread_s : float
            For how long a stored renewal has not been read, in seconds.
        records_behind : int
            Records of the log that have not been read.
        """
        passed_s = now_s - self._began_at_s
        if passed_s < LOG_INTERVAL_S:
            return
        sent, received, dropped = (
            now - before
            for now, before in zip(
                self._read_totals(), self._totals, strict=True
            )
        )
        fields = {
            "longest_round_ms": int(self._longest_round_s * MS_PER_S),
            "longest_loop_delay_ms": int(
                self._longest_loop_delay_s * MS_PER_S
            ),
            "longest_append_ms": int(self._longest_append_s * MS_PER_S),
            "unread_renewal_ms": int(unread_s * MS_PER_S),
        }
        for name, value in fields.items():
            self._metrics.set(f"leader_{name}", value)
        self._logger.log(
            "leader",
            "term statistics",
            term=term,
            passed_ms=int(passed_s * MS_PER_S),
            rounds=self._rounds,
            rounds_ms=int(self._rounds_s * MS_PER_S),
            **fields,
            records_behind=records_behind,
            claims=self._claims,
            reports=self._reports,
            orders=self._orders,
            sent_bytes=sent,
            received_bytes=received,
            dropped_messages=dropped,
        )
        self.begin(now_s)

    def _read_totals(self) -> tuple[int, int, int]:
        traffic = self._traffic
        return (
            traffic.sent_bytes,
            traffic.received_bytes,
            traffic.dropped_messages,
        )
