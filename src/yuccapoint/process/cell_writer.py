"""Fenced appends of a leader's records."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from yuccapoint.connection.cell_store import StoreFencedError
from yuccapoint.connection.cell_store import StoreRefusedError
from yuccapoint.connection.cell_store import StoreResponseLostError
from yuccapoint.connection.cell_store import StoreSequenceError
from yuccapoint.process.steady_clock import steady_s

if TYPE_CHECKING:
    from yuccapoint.connection.cell_store import CellStore
    from yuccapoint.process.process_logger import ProcessLogger

# Writer name under which the store fences leaders.
WRITER_NAME = "leader"
# Backoff after a failed append in seconds, doubled up to the maximum.
FIRST_RETRY_S = 0.05
MAX_RETRY_S = 0.5


class CellWriter:
    """Appends batches in order; each is retried until it is stored.

    Parameters
    ----------
    store : CellStore
        Store of the cell.
    term : int
        Term of the leader; the store rejects appends of lower terms.
    logger : ProcessLogger
        Receives the log lines.
    """

    def __init__(
        self, store: CellStore, term: int, logger: ProcessLogger
    ) -> None:
        self._store = store
        self._term = term
        self._logger = logger
        self._sequence = 0

    def skip_takeover(self) -> None:
        """Skip the sequence of the append that took over the term."""
        self._sequence = 1

    async def append(self, records: list[tuple[str, bytes | None]]) -> float:
        """Append records and return when the append was first sent.

        Raises
        ------
        StoreFencedError
            Another entry leads with a higher term.
        """
        self._sequence += 1
        first_sent_s = steady_s()
        retry_s = FIRST_RETRY_S
        unanswered = False
        while True:
            try:
                await self._store.append(
                    records,
                    writer=WRITER_NAME,
                    epoch=self._term,
                    sequence=self._sequence,
                )
            except StoreSequenceError as error:
                # The append was stored and its answer was lost: the store
                # already expects the next sequence.
                if unanswered and error.expected == self._sequence + 1:
                    return first_sent_s
                raise StoreFencedError(str(error)) from None
            except StoreResponseLostError as error:
                unanswered = True
                self._log_failure(error)
            except StoreRefusedError as error:
                self._log_failure(error)
                if not unanswered:
                    # Nothing was stored so far: the lease starts with the
                    # attempt that succeeds.
                    first_sent_s = steady_s()
            else:
                return first_sent_s
            await asyncio.sleep(retry_s)
            retry_s = min(retry_s * 2, MAX_RETRY_S)

    def _log_failure(self, error: Exception) -> None:
        self._logger.log(
            "store",
            "append failed, retrying",
            sequence=self._sequence,
            term=self._term,
            error=str(error),
        )
