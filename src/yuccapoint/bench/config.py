"""``bench config``: changes under failures, in virtual time."""

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
    from yuccapoint.bench.config_members import Member
    from yuccapoint.process.cell_state import AppliedRecord

REGIONS = {"caribfert": 2, "cyfiawn": 5}
ENTRIES_PER_REGION = 3
AGENTS_PER_REGION = 8
POOLS = 4
ROUTES = 40
SPAN_S = 120.0
SETTLE_S = 20.0
FIRST_CHANGE_S = 6.0
BURST = 100
BURST_EVERY_S = 20.0
RACE_SHARE = 0.2
LOG_DOWN_S = ((20.0, 26.0), (70.0, 90.0))
CUT_S = (40.0, 60.0)


class ConfigFigures(msgspec.Struct, frozen=True):
    """Times in seconds, counts, and bytes of tables sent to agents.

    ``in_force_max_s`` runs from when the operator was told that the edit
    was accepted, for a member in a region that is cut from the heal.
    ``whole_bytes_per_agent_s`` is the baseline on the same load: all rows
    of the pool from each entry to each agent that lags.
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


class Edit:
    """An edit and what its operator was told."""

    __slots__ = ("against", "name", "refusal", "told_s", "version")

    def __init__(self, name: str, against: int) -> None:
        self.name = name
        self.against = against
        self.told_s = 0.0
        self.refusal: str | None = None
        self.version = 0


class ConfigRun:
    """One load with its failures."""

    def __init__(self, regions: int, seed: int, *, burst: bool) -> None:
        self.rng = random.Random(seed)
        self.time = VirtualTime()
        self.net = VirtualNetwork(self.time, self.rng)
        self.log = VirtualLog()
        self.entries: list[VirtualEntry] = []
        self.agents: list[VirtualAgent] = []
        self.gone: list[Member] = []
        self.edits: dict[str, Edit] = {}
        self._regions = regions
        self._burst = burst
        for number in range(regions * ENTRIES_PER_REGION):
            self._start_entry(f"e{number}", number % regions)
        for number in range(regions * AGENTS_PER_REGION):
            self._start_agent(f"a{number}", number % regions)

    def run(self) -> None:
        """Edit, fail, heal and settle."""
        self.time.schedule(1.0, self._first_rows)
        at_s = FIRST_CHANGE_S
        while at_s < SPAN_S:
            count = BURST if self._burst else 1
            for _ in range(count):
                self.time.schedule(at_s + self.rng.random() * 0.2, self._edit)
            at_s += BURST_EVERY_S if self._burst else 1.0
        for begin_s, end_s in LOG_DOWN_S:
            self.time.schedule(begin_s, lambda: self._set_log(down=True))
            self.time.schedule(end_s, lambda: self._set_log(down=False))
        lost = self._regions - 1
        self.time.schedule(
            CUT_S[0], lambda: self.net.isolated_regions.add(lost)
        )
        self.time.schedule(CUT_S[1], self.net.isolated_regions.clear)
        for at_s in (30.0, 75.0, 100.0):
            self.time.schedule(at_s, self._fail_members)
        self.time.run(SPAN_S + SETTLE_S)

    def _set_log(self, *, down: bool) -> None:
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
        pool = f"p{len(self.agents) % POOLS}"
        self.agents.append(
            VirtualAgent(name, region, self.net, self.rng, pool, self.entries)
        )

    def _fail_members(self) -> None:
        """Kill an entry and two agents; each starts anew after 3 s."""
        entry = self.rng.choice(self.entries[1:])
        entry.die()
        self.entries.remove(entry)
        self.gone.append(entry)
        self.time.schedule(
            3.0, lambda: self._start_entry(entry.name, entry.region)
        )
        for agent in self.rng.sample(self.agents, 2):
            agent.die()
            self.agents.remove(agent)
            self.gone.append(agent)
            self._start_agent(agent.name, agent.region)

    def _first_rows(self) -> None:
        writer = self.entries[0].writer
        for number in range(POOLS):
            name = f"p{number}"
            edit = PoolEdited(name, 0, name, "o", Pool(name=name))
            writer.add(edit, self.time.now_s)
        for number in range(ROUTES):
            self._send(self.entries[0], f"r{number}", 0)

    def _edit(self) -> None:
        entry = self.rng.choice(self.entries)
        name = f"r{self.rng.randrange(ROUTES)}"
        row = entry.cell.tables.routes.get(name)
        if row is None:
            return
        self._send(entry, name, row.version)
        if self.rng.random() < RACE_SHARE:
            self._send(self.rng.choice(self.entries), name, row.version)

    def _send(self, entry: VirtualEntry, name: str, against: int) -> None:
        edit_id = f"edit-{len(self.edits)}"
        route = Route(
            name=name,
            prefix=f"/{name}",
            service="s",
            pool=f"p{self.rng.randrange(POOLS)}",
            timeout_s=self.rng.uniform(1, 60),
        )
        edit = RouteEdited(name, against, edit_id, "o", route)
        self.edits[edit_id] = Edit(name, against)
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
            edit.told_s = self.time.now_s
            edit.version = entry.cell.tables.version

    @property
    def members(self) -> list[Member]:
        """All members, those that are gone too."""
        return [*self.entries, *self.agents, *self.gone]

    def accepted(self) -> list[Edit]:
        """Edits whose operators were told that they are accepted."""
        return [e for e in self.edits.values() if e.refusal == ""]

    def in_force_s(self) -> list[float]:
        """Give, for each accepted edit, when the last member had it."""
        return [
            max(self._lag_s(member, edit) for member in self.members)
            for edit in self.accepted()
        ]

    def _lag_s(self, member: Member, edit: Edit) -> float:
        from_s = max(edit.told_s, member.started_s)
        is_cut = member.region == self._regions - 1 != LOG_REGION
        if is_cut and CUT_S[0] - 0.5 <= from_s <= CUT_S[1]:
            from_s = CUT_S[1]
        for at_s, version in member.history:
            if version >= edit.version:
                return max(0.0, at_s - from_s)
        if member.died_s < float("inf"):
            return max(0.0, member.died_s - from_s)
        return SPAN_S

    def lost_accepted(self) -> int:
        """Count accepted edits that some entry does not know in the end."""
        lost = 0
        for edit_id, edit in self.edits.items():
            if edit.refusal != "":
                continue
            for entry in self.entries:
                known = entry.cell.tables.outcomes.get(edit_id)
                lost += known is None or known.refusal != ""
        return lost

    def both_winners(self) -> int:
        """Count edits accepted against a row version already used."""
        used = [(e.name, e.against) for e in self.accepted()]
        return len(used) - len(set(used))


@bench("config")
def measure_config(deployment: str, seed: int) -> ConfigFigures:
    """Measure changes at 1 a second and in bursts of 100."""
    runs = [
        ConfigRun(REGIONS[deployment], seed, burst=burst)
        for burst in (False, True)
    ]
    for run in runs:
        run.run()
    lags = [run.in_force_s() for run in runs]
    every = sorted(lags[0] + lags[1])
    edits = [edit for run in runs for edit in run.edits.values()]
    entries = [
        member
        for run in runs
        for member in run.members
        if isinstance(member, VirtualEntry)
    ]
    fed = sum(entry.fed_bytes for entry in entries)
    whole = sum(entry.whole_bytes for entry in entries)
    agents = sum(len(run.agents) for run in runs)
    return ConfigFigures(
        deployment,
        seed,
        round(every[-1], 3),
        round(max(lags[0]), 3),
        round(max(lags[1]), 3),
        round(every[int(0.99 * len(every))], 3),
        sum(member.reverts for run in runs for member in run.members),
        sum(run.lost_accepted() for run in runs),
        sum(run.both_winners() for run in runs),
        sum(edit.refusal == "" for edit in edits),
        sum(bool(edit.refusal) for edit in edits),
        sum(edit.refusal is None for edit in edits),
        round(fed / agents / SPAN_S, 1),
        round(whole / agents / SPAN_S, 1),
        sum(a.held.repairs for run in runs for a in run.agents),
    )
