"""Slows filling work down before it pushes serving work past its target."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.cell.disturbance_watch import NEIGHBOUR_SHARE
from yuccapoint.cell.service_load import ServiceFloors
from yuccapoint.job.interference.pair_estimates import UNKNOWN_SLOWDOWN
from yuccapoint.job.interference.pair_estimates import WEIGHT_SD

if TYPE_CHECKING:
    from yuccapoint.cell.cell_messages import RunningTask
    from yuccapoint.cell.cell_messages import TaskTraits
    from yuccapoint.job.interference.pair_report import PairEstimate

# Share of the target that the guard steers to; the rest is for swings of
# the load between two looks.
AIM_AT = 0.75
# Share of the target above which unsure images are slowed down at once.
BRAKE_FROM = 0.95
BRAKE = 0.35
# A pace below this many percent only delays the work.
LEAST_PERCENT = 8
# Most percent that a pace rises by with one look.
RAISE_PERCENT = 25
FULL_PERCENT = 100
UNKNOWN_PERCENT = -1
# Load that a neighbour of unknown image is taken to add when it starts: as
# much as those images add that disturb at all.
UNKNOWN_AT_START = 0.15
# Most that a service's own load rises by until the next look.
MAX_RISE = 0.1
# Seconds until a change of the pace shows in the measured tail.
SETTLE_S = 0.6
# Looks that follow closer are of the same half second, in seconds.
STEER_EVERY_S = 0.4
# An image that makes up less than this share of the disturbance is spared.
CULPRIT_SHARE = 0.15
# An image is unsure while its deviation is above this.
UNSURE_DEVIATION = 0.12
# After so many looks past the target all filling work is slowed down.
MAX_LOOKS_PAST_TARGET = 2


class FillingRun:
    """A run that only fills, as a look shows it."""

    __slots__ = ("full_share", "image", "key", "share")

    def __init__(
        self, task: RunningTask, traits: TaskTraits, vm_millicores: int
    ) -> None:
        unit = max(1.0, NEIGHBOUR_SHARE * vm_millicores)
        self.key = (task.task_id, task.run)
        self.image = traits.image
        self.share = task.load / unit
        self.full_share = traits.millicores / unit


class ServingRun:
    """A run with a latency target, as a look shows it.

    Attributes
    ----------
    pressure : float
        Tail latency as a share of the target.
    load, most_load : float
        How busy the service is, and how busy it may be.
    """

    __slots__ = ("image", "key", "load", "most_load", "pressure")

    def __init__(
        self, task: RunningTask, traits: TaskTraits, floors: ServiceFloors
    ) -> None:
        self.image = traits.image
        self.key = (task.task_id, task.run)
        self.pressure = task.load / traits.target_ms
        self.load = floors.load(traits.image, task.load, traits.target_ms)
        self.most_load = floors.most_load(
            traits.image, traits.target_ms, AIM_AT
        )


class PaceGuard:
    """Paces the images that disturb the services beside them.

    Answers a load in which few pairs of images disturb each other much and
    most do not: only the culprits are slowed down, and only while the
    service is busy with its own callers.
    """

    def __init__(self) -> None:
        self._floors = ServiceFloors()
        self._pairs: dict[tuple[str, str], PairEstimate] = {}
        self._paces: dict[str, int] = {}
        self._sent: dict[tuple[str, int], int] = {}
        self._changed_at_s: dict[str, float] = {}
        self._looked_at_s = 0.0
        self._looks_past_target = 0
        self._first_look = True
        self._serving: list[ServingRun] = []
        self._own_loads: dict[tuple[str, int], float] = {}

    def on_look(
        self,
        running: tuple[RunningTask, ...],
        traits: dict[str, TaskTraits],
        vm_millicores: int,
        now_s: float,
    ) -> list[tuple[str, int, int]]:
        """Decide on paces after a look at the worker.

        Parameters
        ----------
        running : tuple of RunningTask
            All runs on the worker.
        traits : dict
            What is known of them, by task.
        vm_millicores : int
            Processors of the VM in thousandths.
        now_s : float
            Steady time in seconds.

        Returns
        -------
        list of tuple
            Task, run and percent of each run to pace anew.
        """
        filling = []
        serving = []
        for task in running:
            known = traits.get(task.task_id)
            if known is None:
                continue
            if known.filling:
                filling.append(FillingRun(task, known, vm_millicores))
            elif known.target_ms and task.percent >= FULL_PERCENT:
                serving.append(ServingRun(task, known, self._floors))
        if now_s - self._looked_at_s >= STEER_EVERY_S:
            self._looked_at_s = now_s
            self._serving = serving
            self._steer(serving, filling, now_s)
        return self._changes(filling)

    def on_start(
        self,
        task_id: str,
        run: int,
        traits: TaskTraits,
        vm_millicores: int,
    ) -> int | None:
        """Decide on the pace of a filling run that has just started.

        A run starts at full speed, and the next look may be half a second
        away.

        Returns
        -------
        int or None
            The percent to pace it to; None to leave it at full speed.
        """
        unit = max(1.0, NEIGHBOUR_SHARE * vm_millicores)
        share = traits.millicores / unit
        percent = self._paces.get(traits.image, FULL_PERCENT)
        for served in self._serving:
            weight = self._weight(served.image, traits.image)
            if (served.image, traits.image) not in self._pairs:
                weight = UNKNOWN_AT_START
            left = max(0.0, served.most_load - served.load)
            if weight * share > left:
                percent = min(percent, int(FULL_PERCENT * left / weight))
        if percent < LEAST_PERCENT:
            percent = 0
        if percent >= FULL_PERCENT:
            return None
        if percent < self._paces.get(traits.image, FULL_PERCENT):
            self._paces[traits.image] = percent
        self._sent[(task_id, run)] = percent
        return percent

    def on_unpaced(self, task_id: str, run: int) -> None:
        """Note that the worker did not confirm a pace."""
        if (task_id, run) in self._sent:
            self._sent[(task_id, run)] = UNKNOWN_PERCENT

    def take_pairs(self, pairs: tuple[PairEstimate, ...]) -> None:
        """Take what the leader knows of who disturbs whom."""
        for pair in pairs:
            self._pairs[(pair.service, pair.job_class)] = pair

    def _weight(self, image: str, filling_image: str) -> float:
        pair = self._pairs.get((image, filling_image))
        return UNKNOWN_SLOWDOWN if pair is None else pair.slowdown

    def _deviation(self, image: str, filling_image: str) -> float:
        pair = self._pairs.get((image, filling_image))
        return WEIGHT_SD if pair is None else pair.deviation

    def _steer(
        self,
        serving: list[ServingRun],
        filling: list[FillingRun],
        now_s: float,
    ) -> None:
        wanted = dict.fromkeys((run.image for run in filling), FULL_PERCENT)
        own_loads = {}
        for served in serving:
            own = self._own_load(served, filling)
            own_loads[served.key] = own
            rise = own - self._own_loads.get(served.key, own)
            expected = own + min(MAX_RISE, max(0.0, rise))
            allowed = max(0.0, served.most_load - expected)
            self._limit(served, filling, allowed, wanted)
        self._own_loads = own_loads
        worst = max((served.pressure for served in serving), default=0.0)
        if worst < 1.0:
            self._looks_past_target = 0
        else:
            self._looks_past_target += 1
        for image, percent in wanted.items():
            pace = self._paces.get(image, FULL_PERCENT)
            if worst >= BRAKE_FROM and self._may_be_at_fault(image, serving):
                percent = min(percent, int(pace * BRAKE))
            settled_s = now_s - self._changed_at_s.get(image, 0.0)
            if percent > pace:
                if settled_s < SETTLE_S or worst >= AIM_AT:
                    continue
                percent = min(percent, pace + RAISE_PERCENT)
            if percent < LEAST_PERCENT:
                percent = 0
            if percent != pace:
                self._paces[image] = percent
                self._changed_at_s[image] = now_s

    def _own_load(
        self, served: ServingRun, filling: list[FillingRun]
    ) -> float:
        added = sum(
            self._weight(served.image, run.image) * run.share
            for run in filling
        )
        return max(0.0, served.load - added)

    def _limit(
        self,
        served: ServingRun,
        filling: list[FillingRun],
        allowed: float,
        wanted: dict[str, int],
    ) -> None:
        full: dict[str, float] = {}
        for run in filling:
            weight = self._weight(served.image, run.image)
            most = weight * run.full_share
            full[run.image] = full.get(run.image, 0.0) + most
        total = sum(full.values())
        if total <= allowed:
            return
        spared = sum(
            part for part in full.values() if part < CULPRIT_SHARE * total
        )
        factor = max(0.0, allowed - spared) / (total - spared)
        for image, part in full.items():
            if part < CULPRIT_SHARE * total:
                continue
            percent = int(FULL_PERCENT * factor)
            wanted[image] = min(wanted[image], percent)

    def _may_be_at_fault(self, image: str, serving: list[ServingRun]) -> bool:
        if self._looks_past_target > MAX_LOOKS_PAST_TARGET:
            return True
        for served in serving:
            if served.pressure < BRAKE_FROM:
                continue
            if self._deviation(served.image, image) > UNSURE_DEVIATION:
                return True
        return False

    def _changes(
        self, filling: list[FillingRun]
    ) -> list[tuple[str, int, int]]:
        changes = []
        if self._first_look and filling:
            # A former agent may have paced them.
            self._first_look = False
            self._sent = {run.key: UNKNOWN_PERCENT for run in filling}
        present = {run.key for run in filling}
        for key in [key for key in self._sent if key not in present]:
            del self._sent[key]
        for run in filling:
            percent = self._paces.get(run.image, FULL_PERCENT)
            if self._sent.get(run.key, FULL_PERCENT) != percent:
                self._sent[run.key] = percent
                changes.append((*run.key, percent))
        return changes
