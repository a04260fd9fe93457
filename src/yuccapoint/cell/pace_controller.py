"""Throttling of best-effort work to keep services below their target."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.cell.interference_model import NEIGHBOUR_CPU_SHARE
from yuccapoint.cell.latency_baselines import LatencyBaselines
from yuccapoint.cell.neighbour_fit import PRIOR_DEVIATION
from yuccapoint.cell.neighbour_fit import PRIOR_WEIGHT

if TYPE_CHECKING:
    from yuccapoint.cell.cell_messages import RunningTask
    from yuccapoint.cell.cell_messages import TaskTraits
    from yuccapoint.job.interference.pair_report import PairEstimate

# Set point of the controller as a share of the latency target; the margin
# absorbs load changes between two polls.
SETPOINT_SHARE_OF_TARGET = 0.92
# Share of the target above which images of uncertain interference are
# throttled at once, and the factor applied to their pace.
THROTTLE_SHARE_OF_TARGET = 0.95
THROTTLE_FACTOR = 0.35
# A lower pace only delays the work, so that it is set to 0 instead.
MIN_PACE_PERCENT = 8
# Largest increase of a pace in one control step, for images of uncertain
# interference.
MAX_PACE_RAISE_PERCENT = 35
FULL_PERCENT = 100
UNKNOWN_PACE_PERCENT = -1
# Load assumed for a service that was not measured yet. It is above the
# average, so that a restart of the agent does no harm at peak load.
ASSUMED_LOAD = 0.6
# Largest expected rise of a service's own load until the next poll.
MAX_LOAD_RISE = 0.1
# Time until a pace change shows in the measured tail latency.
SETTLING_TIME_S = 0.45
# Polls that follow sooner, as after an acknowledged end, measure nearly the
# same half second.
CONTROL_INTERVAL_S = 0.2
# Load that all tasks of an image may add and still count as negligible: its
# effect is below the millisecond resolution of the measured tail.
NEGLIGIBLE_LOAD = 0.08
# An image that adds less is not throttled, as that would gain nothing.
MIN_THROTTLED_LOAD = 0.03
# Standard deviations added to a weight for its upper bound. With it an
# image that was never measured counts as one that interferes.
UPPER_BOUND_DEVIATIONS = 0.5
# A weight counts as uncertain while its deviation is above this.
UNCERTAIN_DEVIATION = 0.04
# After more polls past the target, all images not known to be negligible
# are throttled; after twice as many, the others too.
MAX_POLLS_PAST_TARGET = 2


class BestEffortRun:
    """A best-effort run as listed by one poll."""

    __slots__ = ("full_share", "image", "key", "share")

    def __init__(
        self, task: RunningTask, traits: TaskTraits, vm_millicores: int
    ) -> None:
        unit = max(1.0, NEIGHBOUR_CPU_SHARE * vm_millicores)
        self.key = (task.task_id, task.run)
        self.image = traits.image
        self.share = task.load / unit
        self.full_share = traits.millicores / unit


class ServingRun:
    """A run with a latency target as listed by one poll.

    Attributes
    ----------
    pressure : float
        Tail latency as a share of the target.
    load, max_load : float
        Current and highest acceptable load of the service.
    """

    __slots__ = ("image", "key", "load", "max_load", "pressure")

    def __init__(
        self,
        task: RunningTask,
        traits: TaskTraits,
        baselines: LatencyBaselines,
    ) -> None:
        self.image = traits.image
        self.key = (task.task_id, task.run)
        self.pressure = task.load / traits.target_ms
        self.load = baselines.load(traits.image, task.load, traits.target_ms)
        self.max_load = baselines.max_load(
            traits.image, traits.target_ms, SETPOINT_SHARE_OF_TARGET
        )


class PaceController:
    """Paces best-effort images that interfere with services on the VM.

    Attributes
    ----------
    pressure : float
        Highest tail latency at the last poll, as a share of its target.
    guards_services : bool
        Whether best-effort work ran beside services at the last poll.

    Notes
    -----
    Most pairs of images hardly interfere, while a few do so strongly. Only
    the images that interfere are throttled, and only while the service is
    busy with its own callers.
    """

    def __init__(self) -> None:
        self.pressure = 0.0
        self.guards_services = False
        self._baselines = LatencyBaselines()
        self._pairs: dict[tuple[str, str], PairEstimate] = {}
        self._paces: dict[str, int] = {}
        self._sent_percents: dict[tuple[str, int], int] = {}
        self._changed_at_s: dict[str, float] = {}
        self._updated_at_s = 0.0
        self._polls_past_target = 0
        self._first_poll = True
        self._headroom: dict[str, float] = {}
        self._own_loads: dict[tuple[str, int], float] = {}

    def on_status(
        self,
        running: tuple[RunningTask, ...],
        traits: dict[str, TaskTraits],
        vm_millicores: int,
        now_s: float,
    ) -> list[tuple[str, int, int]]:
        """Update the paces after a poll of the worker.

        Parameters
        ----------
        running : tuple of RunningTask
            All runs on the worker.
        traits : dict
            Traits of the tasks, by task id.
        vm_millicores : int
            Processors of the VM in thousandths.
        now_s : float
            Steady time in seconds.

        Returns
        -------
        list of tuple
            Task, run and percent of each run whose pace changes.
        """
        best_effort = []
        serving = []
        for task in running:
            known = traits.get(task.task_id)
            if known is None:
                continue
            if known.best_effort:
                best_effort.append(BestEffortRun(task, known, vm_millicores))
            elif known.target_ms and task.percent >= FULL_PERCENT:
                serving.append(ServingRun(task, known, self._baselines))
        self.guards_services = bool(serving and best_effort)
        if now_s - self._updated_at_s >= CONTROL_INTERVAL_S:
            self._updated_at_s = now_s
            self._update_paces(serving, best_effort, traits, now_s)
        return self._pace_changes(best_effort)

    def on_run_started(
        self,
        task_id: str,
        run: int,
        traits: dict[str, TaskTraits],
        vm_millicores: int,
    ) -> int | None:
        """Choose the pace of a best-effort run that has just started.

        A run starts at full speed and the next poll may be half a second
        away. Without this check, tasks that start together beside a
        service that can bear only one of them would all run at full speed.

        Returns
        -------
        int or None
            The percent to set; None to leave the run at full speed.
        """
        own = traits[task_id]
        self._reserve_headroom(traits)
        unit = max(1.0, NEIGHBOUR_CPU_SHARE * vm_millicores)
        share = own.millicores / unit
        admissible = int(
            FULL_PERCENT * self._admissible_fraction(own.image, share)
        )
        percent = min(self._paces.get(own.image, FULL_PERCENT), admissible)
        if percent < MIN_PACE_PERCENT:
            percent = 0
        self._use_headroom(own.image, share * percent / FULL_PERCENT)
        if percent >= FULL_PERCENT:
            return None
        self._sent_percents[(task_id, run)] = percent
        return percent

    def _reserve_headroom(self, traits: dict[str, TaskTraits]) -> None:
        """Reserve headroom for services that were not measured yet."""
        for known in traits.values():
            if known.target_ms and known.image not in self._headroom:
                limit = self._baselines.max_load(
                    known.image, known.target_ms, SETPOINT_SHARE_OF_TARGET
                )
                self._headroom[known.image] = max(0.0, limit - ASSUMED_LOAD)

    def on_pace_failed(self, task_id: str, run: int) -> None:
        """Forget the pace of a run, as the worker did not confirm it."""
        if (task_id, run) in self._sent_percents:
            self._sent_percents[(task_id, run)] = UNKNOWN_PACE_PERCENT

    def update_estimates(self, pairs: tuple[PairEstimate, ...]) -> None:
        """Store the leader's interference estimates."""
        for pair in pairs:
            self._pairs[(pair.service, pair.job_class)] = pair

    def _weight(self, image: str, best_effort_image: str) -> float:
        pair = self._pairs.get((image, best_effort_image))
        return PRIOR_WEIGHT if pair is None else pair.slowdown

    def _upper_weight(self, image: str, best_effort_image: str) -> float:
        """Return the upper bound of the load that a neighbour adds."""
        pair = self._pairs.get((image, best_effort_image))
        deviation = PRIOR_DEVIATION if pair is None else pair.deviation
        return (
            self._weight(image, best_effort_image)
            + UPPER_BOUND_DEVIATIONS * deviation
        )

    def _update_paces(
        self,
        serving: list[ServingRun],
        best_effort: list[BestEffortRun],
        traits: dict[str, TaskTraits],
        now_s: float,
    ) -> None:
        self.pressure = max((run.pressure for run in serving), default=0.0)
        if self.pressure < 1.0:
            self._polls_past_target = 0
        else:
            self._polls_past_target += 1
        full_shares: dict[str, float] = {}
        for run in best_effort:
            before = full_shares.get(run.image, 0.0)
            full_shares[run.image] = before + run.full_share
        self._headroom = self._compute_headroom(serving, best_effort)
        self._reserve_headroom(traits)
        targets = self._allocate(full_shares)
        for image, percent in targets.items():
            pace = self._paces.get(image, FULL_PERCENT)
            if self._must_throttle(image, full_shares[image], serving):
                percent = min(percent, int(pace * THROTTLE_FACTOR))
            settled_s = now_s - self._changed_at_s.get(image, 0.0)
            if percent > pace:
                negligible = self._is_negligible(
                    image, full_shares[image], serving
                )
                if settled_s < SETTLING_TIME_S:
                    continue
                if (
                    self.pressure >= SETPOINT_SHARE_OF_TARGET
                    and not negligible
                ):
                    continue
                # Runs wait for each step of a slow rise, and the estimate
                # of a known image already tells what the service can bear.
                if any(self._is_uncertain(s.image, image) for s in serving):
                    percent = min(percent, pace + MAX_PACE_RAISE_PERCENT)
            if percent < MIN_PACE_PERCENT:
                percent = 0
            if percent != pace:
                self._paces[image] = percent
                self._changed_at_s[image] = now_s

    def _compute_headroom(
        self, serving: list[ServingRun], best_effort: list[BestEffortRun]
    ) -> dict[str, float]:
        """Return the load that may be added, by service image."""
        headroom: dict[str, float] = {}
        own_loads = {}
        for served in serving:
            added = sum(
                self._weight(served.image, run.image) * run.share
                for run in best_effort
            )
            own = max(0.0, served.load - added)
            own_loads[served.key] = own
            rise = own - self._own_loads.get(served.key, own)
            expected = own + min(MAX_LOAD_RISE, max(0.0, rise))
            allowed = max(0.0, served.max_load - expected)
            headroom[served.image] = min(
                allowed, headroom.get(served.image, allowed)
            )
        self._own_loads = own_loads
        return headroom

    def _allocate(self, full_shares: dict[str, float]) -> dict[str, int]:
        """Divide the headroom among best-effort images.

        Images that interfere least per processor go first, which allows
        the most work. The remaining headroom is for runs that start before
        the next poll.
        """

        def max_weight(image: str) -> float:
            weights = (self._upper_weight(s, image) for s in self._headroom)
            return max(weights, default=0.0)

        targets = {}
        for image in sorted(full_shares, key=max_weight):
            fraction = self._admissible_fraction(image, full_shares[image])
            self._use_headroom(image, full_shares[image] * fraction)
            targets[image] = int(FULL_PERCENT * fraction)
        return targets

    def _admissible_fraction(self, image: str, share: float) -> float:
        """Return the fraction of a share that all services can bear."""
        fraction = 1.0
        for service, available in self._headroom.items():
            added = self._upper_weight(service, image) * share
            if added > max(available, MIN_THROTTLED_LOAD):
                fraction = min(fraction, available / added)
        return fraction

    def _use_headroom(self, image: str, share: float) -> None:
        """Subtract the load of an image's share from the headroom."""
        for service, available in self._headroom.items():
            added = self._upper_weight(service, image) * share
            self._headroom[service] = max(0.0, available - added)

    def _is_negligible(
        self, image: str, full_share: float, serving: list[ServingRun]
    ) -> bool:
        """Return whether an image certainly adds a negligible load."""
        return all(
            self._upper_weight(served.image, image) * full_share
            < NEGLIGIBLE_LOAD
            for served in serving
        )

    def _must_throttle(
        self, image: str, full_share: float, serving: list[ServingRun]
    ) -> bool:
        if self._polls_past_target > 2 * MAX_POLLS_PAST_TARGET:
            return True
        late = self._polls_past_target > MAX_POLLS_PAST_TARGET
        pressured = [
            run for run in serving if run.pressure >= THROTTLE_SHARE_OF_TARGET
        ]
        if late:
            return not self._is_negligible(image, full_share, pressured)
        return any(self._is_uncertain(run.image, image) for run in pressured)

    def _is_uncertain(self, image: str, best_effort_image: str) -> bool:
        pair = self._pairs.get((image, best_effort_image))
        return pair is None or pair.deviation > UNCERTAIN_DEVIATION

    def _pace_changes(
        self, best_effort: list[BestEffortRun]
    ) -> list[tuple[str, int, int]]:
        changes = []
        if self._first_poll and best_effort:
            # A former agent may have changed their paces.
            self._first_poll = False
            self._sent_percents = {
                run.key: UNKNOWN_PACE_PERCENT for run in best_effort
            }
        present = {run.key for run in best_effort}
        for key in [key for key in self._sent_percents if key not in present]:
            del self._sent_percents[key]
        for run in best_effort:
            percent = self._paces.get(run.image, FULL_PERCENT)
            if self._sent_percents.get(run.key, FULL_PERCENT) != percent:
                self._sent_percents[run.key] = percent
                changes.append((*run.key, percent))
        return changes
