"""Check-ins of workers that have not answered under their id yet."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from yuccapoint.cell.occurrence_state import WorkerInstance
    from yuccapoint.cell.worker_events import CheckIn

# Another writer may name any number of workers; a VM has one.
MAX_CANDIDATES = 8


class WorkerCandidates:
    """Holds check-ins back until the worker that they name has answered.

    A check-in may come from another writer. Taken for the worker's, it ends
    the runs of the present one for the leader, which starts them elsewhere
    while they go on. An instance that is called under its id answers itself.
    """

    def __init__(self) -> None:
        self._newest: dict[tuple[WorkerInstance, str], CheckIn] = {}

    def offer(self, check_in: CheckIn) -> bool:
        """Add a check-in; return whether its worker is to be called now."""
        key = (check_in.instance, check_in.address)
        known = self._newest.get(key)
        if known is not None:
            if known.sequence < check_in.sequence:
                self._newest[key] = check_in
            return False
        if len(self._newest) >= MAX_CANDIDATES:
            return False
        self._newest[key] = check_in
        return True

    def take(self, check_in: CheckIn) -> CheckIn:
        """Remove a candidate and return its newest check-in."""
        return self._newest.pop((check_in.instance, check_in.address))


def needs_answer(current: CheckIn | None, check_in: CheckIn) -> bool:
    """Return whether a check-in's worker has to answer before it is used."""
    if not names_present_worker(current, check_in):
        return True
    return current is None or check_in.instance != current.instance


def names_present_worker(current: CheckIn | None, check_in: CheckIn) -> bool:
    """Return whether a check-in has the id and address that are followed."""
    if current is None or check_in.address != current.address:
        return False
    return check_in.instance.worker_id == current.instance.worker_id


def is_confirmed(
    current: CheckIn | None, check_in: CheckIn, answered_born_ms: int | None
) -> bool:
    """Return whether an answer shows that a check-in is from its worker.

    Parameters
    ----------
    current : CheckIn or None
        Newest check-in of the worker that is followed.
    check_in : CheckIn
        Check-in of another instance or address.
    answered_born_ms : int or None
        Start time of the instance that answered under the check-in's id, in
        Unix milliseconds; 0 if it did not tell, None if none answered.
    """
    if answered_born_ms != 0:
        return check_in.instance.born_ms == answered_born_ms
    # The id alone can't tell a later instance from the present one.
    if current is None:
        return True
    return check_in.instance.worker_id != current.instance.worker_id


def contradicts(current: CheckIn | None, check_in: CheckIn) -> bool:
    """Return whether a check-in moves the present instance to another pool.

    A worker belongs to one pool from its start to its end.
    """
    if current is None or check_in.instance != current.instance:
        return False
    return check_in.pool != current.pool
