"""``bench config``: configuration edits under failures, in virtual time."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import msgspec

from yuccapoint.bench.config_members import LOG_REGION
from yuccapoint.bench.config_members import VirtualAgent
from yuccapoint.bench.config_members import VirtualEntry
from yuccapoint.bench.config_members import VirtualLog
from yuccapoint.bench.registry import bench
from yuccapoint.bench.virtual_time import VirtualNetwork
from yuccapoint.bench.virtual_time import VirtualTime
from yuccapoint.job.records import PoolEdited
from yuccapoint.job.records import RouteEdited
from yuccapoint.version.pool import Pool
from yuccapoint.version.route import Route

if TYPE_CHECKING:
    from yuccapoint.bench.config_members import VirtualMember
    from yuccapoint.process.cell_state import AppliedRecord

REGION_COUNTS = {"caribfert": 2, "cyfiawn": 5}
ENTRIES_PER_REGION = 3
AGENTS_PER_REGION = 8
POOL_COUNT = 4
ROUTE_COUNT = 40
LOAD_S = 120.0
SETTLE_S = 20.0
FIRST_EDIT_S = 6.0
BURST_EDITS = 100
BURST_INTERVAL_S = 20.0
CONFLICT_SHARE = 0.2
LOG_OUTAGES_S = ((20.0, 26.0), (70.0, 90.0))
REGION_ISOLATION_S = (40.0, 60.0)


class ConfigFigures(msgspec.Struct, frozen=True):
    """Propagation times, edit counts and bytes of tables sent to agents.

    ``in_force_max_s`` starts when the operator receives the acceptance of
    the edit, or at the heal for a member in the region that is cut off.
    ``whole_bytes_per_agent_s`` is the baseline under the same load: each
    entry sends all rows of the pool to each agent that lags.
    """

    deployment: str
    seed: int
    in_force_max_s: float
    in_force_max_steady_s: float
    in_force_max_burst_s: float
    in_force_p99_s: float
    reverts: int
    lost_accepted: int
    both_winners: int
    edits_accepted: int
    edits_refused: int
    edits_undecided: int
    fed_bytes_per_agent_s: float
    whole_bytes_per_agent_s: float
    repairs: int


class TrackedEdit:
    """An edit and the answer that its operator received."""

    __slots__ = (
        "acknowledged_s",
        "expected_version",
        "name",
        "refusal",
        "version",
    )

    def __init__(self, name: str, expected_version: int) -> None:
        self.name = name
        self.expected_version = expected_version
        self.acknowledged_s = 0.0
        self.refusal: str | None = None
        self.version = 0


class ConfigRun:
    """One edit load and the failures injected into it."""

    def __init__(self, regions: int, seed: int, *, burst: bool) -> None:
        self.rng = random.Random(seed)
        self.time = VirtualTime()
        self.net = VirtualNetwork(self.time, self.rng)
        self.log = VirtualLog()
        self.entries: list[VirtualEntry] = []
        self.agents: list[VirtualAgent] = []
        self.stopped_members: list[VirtualMember] = []
        self.edits: dict[str, TrackedEdit] = {}
        self._regions = regions
        self._burst = burst
        for number in range(regions * ENTRIES_PER_REGION):
            self._start_entry(f"e{number}", number % regions)
        for number in range(regions * AGENTS_PER_REGION):
            self._start_agent(f"a{number}", number % regions)

    def run(self) -> None:
        """Run the edits and failures, then let the members converge."""
        self.time.schedule(1.0, self._create_rows)
        at_s = FIRST_EDIT_S
        while at_s < LOAD_S:
            count = BURST_EDITS if self._burst else 1
            for _ in range(count):
                self.time.schedule(
                    at_s + self.rng.random() * 0.2, self._edit_route
                )
            at_s += BURST_INTERVAL_S if self._burst else 1.0
        for begin_s, end_s in LOG_OUTAGES_S:
            self.time.schedule(begin_s, lambda: self._set_log_down(down=True))
            self.time.schedule(end_s, lambda: self._set_log_down(down=False))
        isolated_region = self._regions - 1
        self.time.schedule(
            REGION_ISOLATION_S[0],
            lambda: self.net.isolated_regions.add(isolated_region),
        )
        self.time.schedule(
            REGION_ISOLATION_S[1], self.net.isolated_regions.clear
        )
        for at_s in (30.0, 75.0, 100.0):
            self.time.schedule(at_s, self._restart_members)
        self.time.run(LOAD_S + SETTLE_S)

    def _set_log_down(self, *, down: bool) -> None:
        self.log.down = down

    def _start_entry(self, name: str, region: int) -> None:
        self.entries.append(
            VirtualEntry(
                name,
                region,
                self.net,
                self.rng,
                self.log,
                self.entries,
                self._on_applied,
            )
        )

    def _start_agent(self, name: str, region: int) -> None:
        pool = f"p{len(self.agents) % POOL_COUNT}"
        self.agents.append(
            VirtualAgent(name, region, self.net, self.rng, pool, self.entries)
        )

    def _restart_members(self) -> None:
        """Restart an entry after 3 s and two agents at once."""
        entry = self.rng.choice(self.entries[1:])
        entry.crash()
        self.entries.remove(entry)
        self.stopped_members.append(entry)
        self.time.schedule(
            3.0, lambda: self._start_entry(entry.name, entry.region)
        )
        for agent in self.rng.sample(self.agents, 2):
            agent.crash()
            self.agents.remove(agent)
            self.stopped_members.append(agent)
            self._start_agent(agent.name, agent.region)

    def _create_rows(self) -> None:
        writer = self.entries[0].writer
        for number in range(POOL_COUNT):
            name = f"p{number}"
            edit = PoolEdited(name, 0, name, "o", Pool(name=name))
            writer.add(edit, self.time.now_s)
        for number in range(ROUTE_COUNT):
            self._submit_edit(self.entries[0], f"r{number}", 0)

    def _edit_route(self) -> None:
        entry = self.rng.choice(self.entries)
        name = f"r{self.rng.randrange(ROUTE_COUNT)}"
        row = entry.cell.tables.routes.get(name)
        if row is None:
            return
        self._submit_edit(entry, name, row.version)
        if self.rng.random() < CONFLICT_SHARE:
            self._submit_edit(self.rng.choice(self.entries), name, row.version)

    def _submit_edit(
        self, entry: VirtualEntry, name: str, expected_version: int
    ) -> None:
        edit_id = f"edit-{len(self.edits)}"
        route = Route(
            name=name,
            prefix=f"/{name}",
            service="s",
            pool=f"p{self.rng.randrange(POOL_COUNT)}",
            timeout_s=self.rng.uniform(1, 60),
        )
        edit = RouteEdited(name, expected_version, edit_id, "o", route)
        self.edits[edit_id] = TrackedEdit(name, expected_version)
        entry.writer.add(edit, self.time.now_s)

    def _on_applied(
        self, entry: VirtualEntry, applied: list[AppliedRecord]
    ) -> None:
        for outcome in applied:
            record = outcome.record
            if outcome.writer != entry.entry_id:
                continue
            if not isinstance(record, RouteEdited):
                continue
            edit = self.edits[record.edit_id]
            edit.refusal = outcome.refusal
            edit.acknowledged_s = self.time.now_s
            edit.version = entry.cell.tables.version

    @property
    def members(self) -> list[VirtualMember]:
        """All members, including those that have stopped."""
        return [*self.entries, *self.agents, *self.stopped_members]

    def accepted_edits(self) -> list[TrackedEdit]:
        """Return the edits whose acceptance reached the operator."""
        return [e for e in self.edits.values() if e.refusal == ""]

    def in_force_lags_s(self) -> list[float]:
        """Return each accepted edit's delay until all members have it."""
        return [
            max(self._in_force_lag_s(member, edit) for member in self.members)
            for edit in self.accepted_edits()
        ]

    def _in_force_lag_s(
        self, member: VirtualMember, edit: TrackedEdit
    ) -> float:
        from_s = max(edit.acknowledged_s, member.started_s)
        in_isolated_region = member.region == self._regions - 1 != LOG_REGION
        if (
            in_isolated_region
            and REGION_ISOLATION_S[0] - 0.5 <= from_s <= REGION_ISOLATION_S[1]
        ):
            from_s = REGION_ISOLATION_S[1]
        for at_s, version in member.history:
            if version >= edit.version:
                return max(0.0, at_s - from_s)
        if member.crashed_s < float("inf"):
            return max(0.0, member.crashed_s - from_s)
        return LOAD_S

    def count_lost_edits(self) -> int:
        """Count accepted edits that are missing from an entry at the end.

        An edit counts once for each entry that lacks it.
        """
        lost = 0
        for edit_id, edit in self.edits.items():
            if edit.refusal != "":
                continue
            for entry in self.entries:
                stored = entry.cell.tables.outcomes.get(edit_id)
                lost += stored is None or stored.refusal != ""
        return lost

    def count_double_accepts(self) -> int:
        """Count accepted edits of a row version that was already replaced."""
        replaced_versions = [
            (e.name, e.expected_version) for e in self.accepted_edits()
        ]
        return len(replaced_versions) - len(set(replaced_versions))


@bench("config")
def measure_config(deployment: str, seed: int) -> ConfigFigures:
    """Measure edits at 1 per second and in bursts of 100."""
    runs = [
        ConfigRun(REGION_COUNTS[deployment], seed, burst=burst)
        for burst in (False, True)
    ]
    for run in runs:
        run.run()
    lags = [run.in_force_lags_s() for run in runs]
    all_lags = sorted(lags[0] + lags[1])
    edits = [edit for run in runs for edit in run.edits.values()]
    entries = [
        member
        for run in runs
        for member in run.members
        if isinstance(member, VirtualEntry)
    ]
    total_fed_bytes = sum(entry.fed_bytes for entry in entries)
    total_full_bytes = sum(entry.full_update_bytes for entry in entries)
    agents = sum(len(run.agents) for run in runs)
    return ConfigFigures(
        deployment,
        seed,
        round(all_lags[-1], 3),
        round(max(lags[0]), 3),
        round(max(lags[1]), 3),
        round(all_lags[int(0.99 * len(all_lags))], 3),
        sum(member.reverts for run in runs for member in run.members),
        sum(run.count_lost_edits() for run in runs),
        sum(run.count_double_accepts() for run in runs),
        sum(edit.refusal == "" for edit in edits),
        sum(bool(edit.refusal) for edit in edits),
        sum(edit.refusal is None for edit in edits),
        round(total_fed_bytes / agents / LOAD_S, 1),
        round(total_full_bytes / agents / LOAD_S, 1),
        sum(a.replica.repairs for run in runs for a in run.agents),
    )
