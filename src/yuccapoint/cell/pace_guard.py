"""Slows filling work down before it pushes serving work past its target."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from yuccapoint.cell.cell_messages import RunningTask
    from yuccapoint.cell.cell_messages import TaskTraits

# Share of the target from which filling work is slowed down, and below
# which it is sped up; between them it stays, so that it doesn't swing.
SLOW_DOWN_FROM = 0.85
SPEED_UP_BELOW = 0.65
# Factors on the pace above the slow-down share, and above the target.
EASE = 0.7
BRAKE = 0.4
# A pace below this many percent only delays: stop the work instead.
LEAST_PERCENT = 8
# Percent that the pace rises by with each calm look, half a second apart.
RAISE_PERCENT = 12
FULL_PERCENT = 100
# Seconds until a change of the pace shows in the measured tail.
SETTLE_S = 0.7


class PaceGuard:
    """Keeps one pace for all filling work of a VM."""

    def __init__(self) -> None:
        self.percent = FULL_PERCENT
        self._changed_at_s = 0.0
        self._paced: dict[tuple[str, int], int] = {}

    def on_look(
        self,
        running: tuple[RunningTask, ...],
        traits: dict[str, TaskTraits],
        now_s: float,
    ) -> list[tuple[str, int, int]]:
        """Decide on the pace after a look at the worker.

        Returns
        -------
        list of tuple
            Task, run and percent of each run to pace anew.
        """
        filling = []
        worst = 0.0
        for task in running:
            known = traits.get(task.task_id)
            if known is None:
                continue
            if known.filling:
                filling.append(task)
            if known.target_ms:
                worst = max(worst, task.load / known.target_ms)
        if not filling:
            self.percent = FULL_PERCENT
            self._paced.clear()
            return []
        self._adjust(worst, now_s)
        changes = []
        for task in filling:
            key = (task.task_id, task.run)
            if self._paced.get(key, FULL_PERCENT) != self.percent:
                self._paced[key] = self.percent
                changes.append((task.task_id, task.run, self.percent))
        return changes

    def on_unpaced(self, task_id: str, run: int) -> None:
        """Forget a pace that the worker did not confirm."""
        self._paced.pop((task_id, run), None)

    def _adjust(self, worst: float, now_s: float) -> None:
        if now_s - self._changed_at_s < SETTLE_S:
            return
        percent = self.percent
        if worst >= 1.0:
            percent = int(percent * BRAKE)
        elif worst >= SLOW_DOWN_FROM:
            percent = int(percent * EASE)
        elif worst < SPEED_UP_BELOW:
            percent = min(FULL_PERCENT, percent + RAISE_PERCENT)
        if percent < LEAST_PERCENT:
            percent = 0
        if percent != self.percent:
            self.percent = percent
            self._changed_at_s = now_s
