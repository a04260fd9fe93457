"""Queues that stored jobs belong to, by the newest config."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.cell.cell_records import queue_key
from yuccapoint.cell.cell_records import StoredQueue

if TYPE_CHECKING:
    from yuccapoint.cell.submission import Submission
    from yuccapoint.version.queue_table import QueueTable


class QueueDirectory:
    """Finds the queue in force of each job.

    A job belongs to the queue at the address that it was submitted to. Once
    no route serves this address, it belongs to the route of the same name on
    the same host. Leaders store what they found, as a later config may change
    the rest.

    Attributes
    ----------
    table : QueueTable or None
        The newest routes; None before the first were read.
    stored : dict of str to StoredQueue
        What leaders have stored, by key.
    """

    __slots__ = ("stored", "table")

    def __init__(self) -> None:
        self.table: QueueTable | None = None
        self.stored: dict[str, StoredQueue] = {}

    @property
    def version(self) -> int:
        """Version of the newest routes; 0 before the first were read."""
        return 0 if self.table is None else self.table.version

    def install(self, table: QueueTable) -> bool:
        """Use a table of routes; return whether it is newer."""
        if self.table is not None and table.version <= self.table.version:
            return False
        self.table = table
        return True

    def find_stored(self, submission: Submission) -> StoredQueue:
        """Return a job's queue by the newest config that is stored."""
        stored = self.stored.get(queue_key(submission))
        if stored is None or stored.config_version < submission.config_version:
            return StoredQueue(
                submission.address,
                submission.config_version,
                submission.queue,
            )
        return stored

    def find_current(self, submission: Submission) -> StoredQueue:
        """Return a job's queue by the newest config.

        A queue whose route is gone keeps its last rules.
        """
        known = self.find_stored(submission)
        table = self.table
        if table is None or table.version <= known.config_version:
            return known
        route = table.find_successor(known.address, known.rules.route)
        if route is None:
            return known
        return StoredQueue(route.address, table.version, route.rules)
