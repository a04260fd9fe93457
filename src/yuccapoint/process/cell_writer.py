"""Appends a leader's records under its term."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from yuccapoint.connection.cell_store import StoreAnswerLostError
from yuccapoint.connection.cell_store import StoreFencedError
from yuccapoint.connection.cell_store import StoreRefusedError
from yuccapoint.connection.cell_store import StoreSequenceError
from yuccapoint.process.steady_clock import steady_s

if TYPE_CHECKING:
    from yuccapoint.connection.cell_store import CellStore
    from yuccapoint.process.process_logger import ProcessLogger

# Name under which the store fences leaders.
WRITER_NAME = "leader"
# Pause after a refused append in seconds, doubled up to the second figure.
FIRST_RETRY_S = 0.05
MAX_RETRY_S = 0.5


class CellWriter:
    """Appends one batch after the other; each is repeated until it is in.

    Parameters
    ----------
    store : CellStore
        Where the records go.
    term : int
        Term of the leader; it fences all lower ones.
    logger : ProcessLogger
        Where failures are said.
    """

    def __init__(
        self, store: CellStore, term: int, logger: ProcessLogger
    ) -> None:
        self._store = store
        self._term = term
        self._logger = logger
        self._sequence = 0

    def skip_first_sequence(self) -> None:
        """Go on after an append of this term whose answer was lost."""
        self._sequence = 1

    async def append(self, records: list[tuple[str, bytes | None]]) -> float:
        """Append records and give when the append was first sent.

        Raises
        ------
        StoreFencedError
            Another leader has taken over.
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
                # A lost answer: the store is already one append further.
                if unanswered and error.expected == self._sequence + 1:
                    return first_sent_s
                raise StoreFencedError(str(error)) from None
            except StoreAnswerLostError as error:
                unanswered = True
                self._log_failure(error)
            except StoreRefusedError as error:
                self._log_failure(error)
                if not unanswered:
                    # Nothing was done so far: the right to lead counts
                    # from the attempt that succeeds.
                    first_sent_s = steady_s()
            else:
                return first_sent_s
            await asyncio.sleep(retry_s)
            retry_s = min(retry_s * 2, MAX_RETRY_S)

    def _log_failure(self, error: Exception) -> None:
        self._logger.log(
            "store",
            "append failed",
            sequence=self._sequence,
            term=self._term,
            error=str(error),
        )
