"""Calls of an agent to the worker on its VM."""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from yuccapoint.cell.occurrence_state import WorkerInstance
    from yuccapoint.cell.worker_events import CallAnswer
    from yuccapoint.cell.worker_events import StatusRequest
    from yuccapoint.cell.worker_events import WorkerCall
    from yuccapoint.cell.worker_events import WorkerStatus


class CellWorkerPort(Protocol):
    """Client interface of the worker."""

    async def call(
        self, call: WorkerCall, instance: WorkerInstance
    ) -> CallAnswer:
        """Start, stop or throttle a run on an instance of the worker."""

    async def fetch_status(
        self, request: StatusRequest, instance: WorkerInstance
    ) -> WorkerStatus:
        """Renew the worker's lease and list its running and ended runs."""

    async def fetch_born_ms(
        self, worker_id: str, term: int, fence: int
    ) -> int | None:
        """Return when the worker's present instance was started."""

    def close(self) -> None:
        """Close the connections."""
