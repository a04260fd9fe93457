"""Simulated entry: its process on an event loop of its own."""

from __future__ import annotations

import functools
from typing import Any
from typing import TYPE_CHECKING
from unittest import mock

from cell_world.channel_model import ChannelModel
from cell_world.log_model import LogModel
from cell_world.processor_model import ProcessorModel
from cell_world.simulated_loop import SimulatedLoop
from cell_world.store_client_model import StoreClientModel
from yuccapoint.process import cell_entry_process
from yuccapoint.process.cell_entry_process import CellEntryProcess
from yuccapoint.process.metrics import Metrics
from yuccapoint.version.queue_table import QueueRoute

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine
    import random

    from cell_world.simulated_clock import SimulatedClock
    from cell_world.store_model import StoreModel
    from yuccapoint.cell.cell_leader import CellLeader
    from yuccapoint.cell.cell_view import CellView
    from yuccapoint.cell.entry_capacity import EntryCapacity
    from yuccapoint.cell.job_gateway import GatewayResult
    from yuccapoint.cell.submission import Submission

# Messages that wait for a frozen process.
MAX_WAITING_MESSAGES = 4_096
CALLER_DEADLINE_S = 2.0


class EntryModel:
    """Runs an entry's process, which may be killed, frozen and cut off.

    Attributes
    ----------
    log : LogModel
        The last log lines of its processes.
    processor : ProcessorModel
        Takes no time unless the costs of its work are set.
    capacity : EntryCapacity or None
        What the settings of its next process tell.
    busy_until_s : float
        When the process has done the work that it has begun.
    """

    def __init__(
        self,
        name: str,
        store: StoreModel,
        clock: SimulatedClock,
        rng: random.Random,
        world: Any,
    ) -> None:
        self.name = name
        self.alive = False
        self.frozen_until_s = 0.0
        self.capacity: EntryCapacity | None = None
        self.busy_until_s = 0.0
        self.processor = ProcessorModel(clock)
        self.store_client = StoreClientModel(
            store, clock, world.after, self.processor
        )
        self.log = LogModel(clock)
        self._clock = clock
        self._rng = rng
        self._send = world.send
        self._was_frozen = False
        self._inbox: list[Any] = []
        self.restart()

    def restart(self) -> None:
        """Start a new process."""
        self.alive = True
        self.stopping = False
        self.busy_until_s = 0.0
        self._inbox = []
        self.loop = SimulatedLoop(self._clock)
        channel = functools.partial(ChannelModel, self._send_message)
        with mock.patch.object(cell_entry_process, "ControlChannel", channel):
            self.process = CellEntryProcess(
                self.name,
                self.name,
                self.store_client,
                self.log,
                Metrics(),
                self.capacity,
            )
        self.loop.call_soon(self.process.start)

    def kill(self) -> None:
        """End the process without notice."""
        self.alive = False

    def stop(self) -> None:
        """Ask the process to stop; it hands over its leadership."""
        self.stopping = True
        self._start(self.process.hand_over)

    @property
    def view(self) -> CellView:
        return self.process.view

    @property
    def leader(self) -> CellLeader | None:
        return self.process.leader

    def step(self, now_s: float) -> None:
        """Run what is due unless the process is dead or frozen."""
        if not self.alive:
            return
        if now_s < self.frozen_until_s:
            self._was_frozen = True
            return
        if now_s < self.busy_until_s:
            return
        self.busy_until_s = self.processor.run(self._run_due)

    def _run_due(self) -> None:
        if self._was_frozen and self._rng.random() < 0.5:
            # Timers and answers may be handled before the messages.
            self.loop.run_due()
        self._was_frozen = False
        messages, self._inbox = self._inbox, []
        for message in messages:
            self.loop.call_soon(self._deliver, message)
        self.loop.run_due()

    def _deliver(self, message: Any) -> None:
        self.processor.on_message()
        self.process._control_channel.deliver(message)

    def _send_message(self, sender: str, receiver: str, message: Any) -> None:
        self.processor.on_message()
        self._send(sender, receiver, message)

    def find_failures(self) -> list[str]:
        """Return the faults of the process so far."""
        failures = list(self.loop.errors)
        if self.process.failed.is_set():
            failures.append("a component failed")
        return failures

    def on_message(self, message: Any) -> None:
        """Receive a message, which a frozen process handles later."""
        if self.alive and len(self._inbox) < MAX_WAITING_MESSAGES:
            self._inbox.append(message)

    def submit(
        self, job: Submission, answer: Callable[[GatewayResult], None]
    ) -> None:
        """Submit a job as a caller does."""
        deadline_s = self._clock.now_s + CALLER_DEADLINE_S
        gateway = self.process.job_gateway
        self._start(lambda: gateway.submit(job, deadline_s), answer)

    def cancel(
        self, job: Submission, answer: Callable[[GatewayResult], None]
    ) -> None:
        """Cancel a job as a caller does."""
        deadline_s = self._clock.now_s + CALLER_DEADLINE_S
        gateway = self.process.job_gateway
        route = QueueRoute("", "/", job.queue)
        job_id = job.job_id
        self._start(lambda: gateway.cancel(route, job_id, deadline_s), answer)

    def _start(
        self,
        call: Callable[[], Coroutine[Any, Any, Any]],
        answer: Callable[[Any], None] | None = None,
    ) -> None:
        def begin() -> None:
            task = self.loop.create_task(call())
            if answer is not None:
                task.add_done_callback(lambda done: answer(done.result()))

        self.loop.call_soon(begin)
