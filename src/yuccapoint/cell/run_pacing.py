"""Paces of best-effort runs on a worker, and the calls that set them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.cell.pace_controller import PaceController
from yuccapoint.cell.worker_events import PaceCall

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccapoint.cell.cell_messages import LeaderOrders
    from yuccapoint.cell.cell_messages import RunningTask
    from yuccapoint.cell.cell_messages import TaskTraits


class RunPacing:
    """Collects the calls that change the pace of runs.

    Parameters
    ----------
    explain : callable
        Logs a decision.

    Attributes
    ----------
    traits : dict of str to TaskTraits
        What the leader has told about tasks, by id.
    """

    __slots__ = ("_calls", "_controller", "_explain", "traits")

    def __init__(self, explain: Callable[..., None]) -> None:
        self.traits: dict[str, TaskTraits] = {}
        self._controller = PaceController()
        self._explain = explain
        self._calls: list[PaceCall] = []

    @property
    def guards_services(self) -> bool:
        """Whether best-effort work runs beside services."""
        return self._controller.guards_services

    def on_orders(self, orders: LeaderOrders) -> None:
        """Take over the traits and estimates of the leader's orders."""
        self.traits = {traits.task_id: traits for traits in orders.traits}
        self._controller.update_estimates(orders.pairs)

    def on_run_started(
        self, task_id: str, run: int, millicores: int, term: int
    ) -> None:
        """Limit a best-effort run that has just started.

        Parameters
        ----------
        task_id : str
            The task.
        run : int
            Its run.
        millicores : int
            Processors of the worker.
        term : int
            Term of the leader.
        """
        traits = self.traits.get(task_id)
        if traits is None or not traits.best_effort:
            return
        percent = self._controller.on_run_started(
            task_id, run, self.traits, millicores
        )
        if percent is not None:
            self._calls.append(PaceCall(task_id, run, percent, term))

    def on_status(
        self,
        running: tuple[RunningTask, ...],
        millicores: int,
        term: int,
        now_s: float,
    ) -> None:
        """Change paces by the latencies and loads that the worker listed.

        Parameters
        ----------
        running : tuple of RunningTask
            Its running tasks.
        millicores : int
            Processors of the worker.
        term : int
            Term of the leader.
        now_s : float
            Steady time in seconds.
        """
        changes = self._controller.on_status(
            running, self.traits, millicores, now_s
        )
        for task_id, run, percent in changes:
            self._calls.append(PaceCall(task_id, run, percent, term))
            self._explain(
                "guard",
                "paced",
                task=task_id,
                run=run,
                percent=percent,
                tail_of_target_percent=int(100 * self._controller.pressure),
            )

    def on_pace_failed(self, task_id: str, run: int) -> None:
        """Note that a pace was not set."""
        self._controller.on_pace_failed(task_id, run)

    def take_calls(self) -> list[PaceCall]:
        """Return the calls to make now, once each."""
        calls, self._calls = self._calls, []
        return calls
