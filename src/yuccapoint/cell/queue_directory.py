"""Queues that stored jobs belong to, by the newest config."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.cell.cell_records import queue_key
from yuccapoint.cell.cell_records import StoredQueue

if TYPE_CHECKING:
    from yuccapoint.cell.queue_address import QueueAddress
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

    def find_current(
        self, submission: Submission, used: StoredQueue | None = None
    ) -> StoredQueue:
        """Return a job's queue by the newest config.

        A queue whose route is gone keeps its last rules.

        Parameters
        ----------
        submission : Submission
            The job.
        used : StoredQueue or None
            What was found before, which may not be stored yet.
        """
        known = self.find_stored(submission)
        if used is not None and used.config_version > known.config_version:
            known = used
        table = self.table
        if table is None or table.version <= known.config_version:
            return known
        route = table.find_successor(known.address, known.rules.route)
        if route is None:
            return known
        return StoredQueue(route.address, table.version, route.rules)

    def holds(
        self, submission: Submission, address: QueueAddress | None, name: str
    ) -> bool:
        """Return whether a queue is the one that a job belongs to.

        Parameters
        ----------
        submission : Submission
            The job.
        address : QueueAddress or None
            Address of the queue, by any config; None if only its name is
            known.
        name : str
            Name of its route.
        """
        known = self.find_stored(submission)
        if address is None:
            return known.rules.route == name
        if known.address == address:
            return True
        # The record may be of a newer config than the one read here.
        if self.table is None:
            return known.address is None and known.rules.route == name
        route = self.table.find_successor(known.address, known.rules.route)
        return route is not None and route.address == address
