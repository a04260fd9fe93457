"""Records whose commit through the log is pending."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from yuccapoint.exceptions import YuccapointError
from yuccapoint.request.verdict import Verdict

if TYPE_CHECKING:
    from yuccapoint.connection.log_writer import LogWriter
    from yuccapoint.job.records import Record
    from yuccapoint.process.cell_state import AppliedRecord
    from yuccapoint.process.cell_state import CellState


class NotCommittedError(YuccapointError):
    """The record did not reach the log and has no effect."""


class OutcomeUnknownError(YuccapointError):
    """The record may be in the log, or may still reach it."""

    verdict = Verdict.MAY_HAVE_RUN


class PendingCommits:
    """Matches this process's records with their outcome in the log.

    Parameters
    ----------
    writer : LogWriter
        Builds the batches that this process appends.
    """

    def __init__(self, writer: LogWriter) -> None:
        self._writer = writer
        self._futures: dict[int, asyncio.Future[str]] = {}

    async def commit(
        self, record: Record, now_s: float, timeout_s: float
    ) -> str:
        """Append a record and wait for its outcome.

        Parameters
        ----------
        record : Record
            Record to append.
        now_s : float
            Monotonic time.
        timeout_s : float
            Longest wait, in seconds.

        Returns
        -------
        str
            Empty when accepted, else the reason of the refusal.

        Raises
        ------
        NotCommittedError
            The record was never sent to the log.
        OutcomeUnknownError
            The record was sent and its outcome is unknown.
        """
        future: asyncio.Future[str]
        future = asyncio.get_running_loop().create_future()
        self._futures[id(record)] = future
        try:
            self._writer.add(record, now_s)
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError:
            if self._writer.remove_unsent(record):
                raise NotCommittedError("the log does not answer") from None
            raise OutcomeUnknownError(
                "the log did not answer in time; retry with the same id"
            ) from None
        finally:
            self._futures.pop(id(record), None)

    def on_restored(self, cell: CellState) -> None:
        """Resolve the commits whose records precede a restored snapshot."""
        sequence = cell.last_sequence(self._writer.writer)
        if sequence >= self._writer.sequence:
            self._writer.on_appended(self._writer.sequence)
        for record in self._writer.pop_batches_up_to(sequence):
            future = self._futures.get(id(record))
            if future is None or future.done():
                continue
            edit_id = getattr(record, "edit_id", "")
            outcome = cell.tables.outcomes.get(edit_id)
            if outcome is not None:
                future.set_result(outcome.refusal)
                continue
            future.set_exception(
                OutcomeUnknownError(
                    "the record's outcome has expired from the log"
                )
            )

    def on_applied(self, applied: list[AppliedRecord]) -> None:
        """Resolve the commits of the records of an append."""
        if not applied or applied[0].writer != self._writer.writer:
            return
        sequence = applied[0].sequence
        self._writer.on_appended(sequence)
        sent_records = self._writer.pop_batch(sequence)
        for record, outcome in zip(sent_records, applied, strict=False):
            future = self._futures.get(id(record))
            if future is not None and not future.done():
                future.set_result(outcome.refusal)
