"""Execution of the agent's actions on the worker, and worker polls."""

from __future__ import annotations

import asyncio
from typing import Any
from typing import TYPE_CHECKING

from yuccapoint.connection.worker_port import WorkerError
from yuccapoint.connection.worker_port import WorkerUnreachableError
from yuccapoint.job.actions import WorkerRenew
from yuccapoint.job.actions import WorkerStart
from yuccapoint.job.actions import WorkerStop
from yuccapoint.job.actions import WorkerThrottle
from yuccapoint.job.worker_events import TaskEnded
from yuccapoint.job.worker_events import WorkerEventPage

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine

    from yuccapoint.connection.worker_port import WorkerPort
    from yuccapoint.job.actions import Action
    from yuccapoint.job.worker_events import Inventory
    from yuccapoint.job.worker_events import UsageSample

RETRY_S = 0.3
USAGE_EVERY_S = 0.5


class WorkerDriver:
    """Calls and polls one worker.

    Parameters
    ----------
    worker : WorkerPort
        The worker.
    on_inventory, on_ended, on_usage : callable
        Called with the worker's answers; the inventory comes with the
        ended tasks that the worker still remembers.
    """

    def __init__(
        self,
        worker: WorkerPort,
        on_inventory: Callable[[Inventory, list[TaskEnded]], None],
        on_ended: Callable[[TaskEnded], None],
        on_usage: Callable[[list[UsageSample]], None],
    ) -> None:
        self._worker = worker
        self._on_inventory = on_inventory
        self._on_ended = on_ended
        self._on_usage = on_usage
        self._next_number = 0
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Load the inventory and start to poll the worker."""
        self._spawn(self._run_polls())
        self._spawn(self._run_usage_polls())

    def stop(self) -> None:
        """Stop all calls and polls."""
        for task in list(self._tasks):
            task.cancel()

    def execute(self, action: Action) -> None:
        """Execute an action on the worker."""
        if isinstance(action, WorkerStart):
            self._spawn(self._start(action))
        elif isinstance(action, WorkerRenew):
            self._spawn(
                self._ignore_errors(self._worker.renew(action.lease_until_s))
            )
        elif isinstance(action, WorkerStop):
            self._spawn(self._stop(action))
        elif isinstance(action, WorkerThrottle):
            call = self._worker.throttle(
                action.job_id, action.attempt, action.share
            )
            self._spawn(self._ignore_errors(call))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _start(self, action: WorkerStart) -> None:
        maybe_started = False
        while True:
            try:
                await self._worker.start(action)
                return
            except WorkerUnreachableError:
                maybe_started = True
                await asyncio.sleep(RETRY_S)
            except WorkerError as error:
                text = str(error)
                break
        # A refused retry may mean that an earlier attempt is running or has
        # ended.
        if maybe_started and await self._is_running(
            action.job.job_id, action.attempt
        ):
            return
        self._on_ended(
            TaskEnded(
                action.job.job_id,
                action.attempt,
                "failed",
                text,
                action.checkpoint,
            )
        )

    async def _is_running(self, job_id: str, attempt: int) -> bool:
        while True:
            try:
                inventory = await self._worker.inventory()
                await self._poll_ended()
            except WorkerError:
                await asyncio.sleep(RETRY_S)
                continue
            return any(
                task.job_id == job_id and task.attempt == attempt
                for task in inventory.running
            )

    async def _stop(self, action: WorkerStop) -> None:
        while True:
            try:
                await self._worker.stop(action.job_id, action.attempt)
                return
            except WorkerUnreachableError:
                await asyncio.sleep(RETRY_S)
            except WorkerError:
                return

    async def _ignore_errors(self, call: Coroutine[Any, Any, None]) -> None:
        try:
            await call
        except WorkerError:
            return

    async def _run_polls(self) -> None:
        await self._load_inventory()
        while True:
            try:
                await self._poll_ended()
            except WorkerError:
                await asyncio.sleep(RETRY_S)

    async def _poll_ended(self) -> None:
        events = await self._worker.wait_for_events(self._next_number)
        for ended in events.ended:
            self._on_ended(ended)
        self._next_number = max(self._next_number, events.next_number)

    async def _load_inventory(self) -> None:
        while True:
            try:
                inventory = await self._worker.inventory()
                past_ends = WorkerEventPage(0, [])
                if inventory.next_number:
                    past_ends = await self._worker.wait_for_events(0)
            except WorkerError:
                await asyncio.sleep(RETRY_S)
                continue
            self._next_number = max(
                inventory.next_number, past_ends.next_number
            )
            self._on_inventory(inventory, past_ends.ended)
            return

    async def _run_usage_polls(self) -> None:
        while True:
            await asyncio.sleep(USAGE_EVERY_S)
            try:
                self._on_usage(await self._worker.usage())
            except WorkerError:
                continue
