"""The oracle: one named check for each guarantee."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from yuccapoint.job.size import Size
from yuccapoint.process.operator_messages import EditAnswer

if TYPE_CHECKING:
    from fuzzing.exchange import Exchange
    from fuzzing.members import EntryMember
    from fuzzing.members import Member
    from fuzzing.scripted_platform import WorkerHost
    from fuzzing.world import World

LEAVE_GRACE_S = 4.0
STATUS_BAD_GATEWAY = 502
RECOVERY_S = 20.0
SETTLE_ROUND_S = 10.0
MAX_SETTLE_ROUNDS = 120


class InvariantViolatedError(AssertionError):
    """A check failed; the message starts with the check's name."""

    def __init__(self, check: str, text: str, trace: str) -> None:
        super().__init__(f"{check}: {text}\n{trace}")
        self.check = check


class Oracle:
    """Compares the observed state with the guarantees.

    Running tasks are read from the workers, responses from the callers'
    exchanges and the versions in force from the members.
    """

    def __init__(self, world: World) -> None:
        self._world = world
        self._started: dict[str, tuple[int, WorkerHost]] = {}
        self._checked_starts: dict[int, int] = {}
        self._newest_versions: dict[str, int] = {}
        self._tables_content: dict[int, bytes] = {}

    def check_invariants(self) -> None:
        """Check the guarantees that hold at all times."""
        self._check_no_crash()
        self._check_workers()
        self._check_starts()
        self._check_quota()
        self._check_versions()
        self._check_requests()

    def settle(self) -> None:
        """End all faults, wait for recovery and check the final state."""
        self._world.end_all_faults()
        self._world.advance(RECOVERY_S)
        for _ in range(MAX_SETTLE_ROUNDS):
            self._world.advance(SETTLE_ROUND_S)
            if self._all_final():
                break
        self._check_jobs()
        self._check_edits()

    def fail(self, check: str, text: str) -> None:
        raise InvariantViolatedError(check, text, self._world.recent_trace())

    def _check_no_crash(self) -> None:
        if self._world.crashes:
            self.fail("process_lives", self._world.crashes[0])

    def _check_workers(self) -> None:
        places: dict[str, str] = {}
        for host in self._world.hosts:
            used = Size()
            for task in host.model.tasks.values():
                used = used + task.size
                other = places.setdefault(task.job_id, host.vm)
                if other != host.vm:
                    text = f"{task.job_id} runs on {other} and {host.vm}"
                    self.fail("job_in_two_places", text)
            if (
                not used.fits(host.model.capacity)
                or host.model.overcommit_count
            ):
                self.fail("vm_overcommitted", f"{host.vm} runs {used}")

    def _check_starts(self) -> None:
        for host in self._world.hosts:
            seen = self._checked_starts.get(id(host), 0)
            self._checked_starts[id(host)] = len(host.starts)
            for job_id, attempt in host.starts[seen:]:
                self._check_start(host, job_id, attempt)

    def _check_start(
        self, host: WorkerHost, job_id: str, attempt: int
    ) -> None:
        earlier = self._started.get(job_id)
        self._started[job_id] = (attempt, host)
        if earlier is None:
            return
        earlier_attempt, earlier_host = earlier
        # A VM that replaces a dead one may start the same attempt again.
        if attempt == earlier_attempt and earlier_host.alive:
            text = f"{job_id} attempt {attempt} starts again on {host.vm}"
            self.fail("attempt_started_twice", text)
        if attempt < earlier_attempt:
            text = f"{job_id} starts attempt {attempt} after {earlier_attempt}"
            self.fail("resumed_twice", text)

    def _check_quota(self) -> None:
        small = {
            e.name for e in self.job_submissions() if e.job.team == "small"
        }
        used = 0
        for host in self._world.hosts:
            for task in host.model.tasks.values():
                if task.job_id in small:
                    used += task.size.millicores
        if used > self._world.quota_millicores:
            self.fail("quota_breached", f"team small runs {used} millicores")

    def _check_versions(self) -> None:
        for member in self._world.members():
            process = member.process
            name = f"{member.name}@{process.incarnation}"
            tables = getattr(process, "tables", None)
            if tables is None:
                tables = process.cell.tables.current
            self._check_content(name, tables)
            if tables.version < self._newest_versions.get(name, 0):
                text = f"{name} reverted to version {tables.version}"
                self.fail("version_reverted", text)
            self._newest_versions[name] = tables.version

    def _check_content(self, name: str, tables: object) -> None:
        rows = [
            sorted(table.values(), key=lambda row: row.name)
            for table in (tables.routes, tables.pools)  # type: ignore
        ]
        content = msgspec.json.encode(rows)
        version = tables.version  # type: ignore[attr-defined]
        if self._tables_content.setdefault(version, content) != content:
            text = f"{name} has different content at version {version}"
            self.fail("version_reverted", text)

    def _check_requests(self) -> None:
        runs: dict[str, int] = {}
        for endpoint in self._world.all_endpoints:
            for name, at_s in endpoint.runs:
                runs[name] = runs.get(name, 0) + 1
                left_at_s = endpoint.left_at_s
                if endpoint.leaving and at_s > left_at_s + LEAVE_GRACE_S:
                    text = f"{name} ran on {endpoint.name} after it had left"
                    self.fail("new_work_after_leave", text)
        by_key: dict[str, int] = {}
        for exchange in self._world.exchanges:
            if not exchange.is_service_request:
                continue
            count = runs.get(exchange.name, 0)
            key = exchange.key or exchange.name
            by_key[key] = by_key.get(key, 0) + count
            if exchange.at_most_once and by_key[key] > 1:
                self.fail("ran_twice", f"{key} ran {by_key[key]} times")
            self._check_answer(exchange, count)

    def _check_answer(self, exchange: Exchange, runs: int) -> None:
        if not exchange.finished:
            return
        if exchange.verdict == "not-run" and runs:
            self.fail("false_not_run", f"{exchange.name} ran {runs} times")
        if exchange.status != 200:
            return
        own = exchange.headers.get("X-Request-Name") == exchange.name
        if not own or exchange.body != exchange.request_body:
            text = f"{exchange.name} received {exchange.body[:60]!r}"
            self.fail("whole_own_answer", text)

    def check_stop(self, member: Member, running: list[Exchange]) -> None:
        """Check that a planned stop cut off none of the requests in flight."""
        assert member.planned_stop is not None
        cut = [
            exchange.name
            for exchange in running
            if exchange.broken or exchange.status == STATUS_BAD_GATEWAY
        ]
        cut += [
            text for text in member.planned_stop.result() if "request" in text
        ]
        if cut:
            self.fail("planned_stop_cuts", f"{member.name} cut {cut}")

    def _check_jobs(self) -> None:
        for exchange in self.job_submissions():
            if exchange.status != 200 or exchange.job is None:
                continue
            job_id = exchange.job.job_id
            for member in self._world.entries:
                entry = member.process.cell.board.jobs.get(job_id)
                if entry is None:
                    text = f"{member.name} has no entry for {job_id}"
                    self.fail("job_lost", text)
                elif not entry.state.final:
                    steps = [step.text for step in entry.steps]
                    text = f"{job_id} is {entry.state.value}: {steps}"
                    self.fail("job_lost", text)

    def _all_final(self) -> bool:
        boards = [m.process.cell.board for m in self._world.entries]
        return all(
            entry.state.final
            for board in boards
            for entry in board.jobs.values()
        )

    def _check_edits(self) -> None:
        winners: dict[str, str] = {}
        removed = {
            exchange.row_name
            for exchange in self._world.exchanges
            if exchange.edit is not None
            and exchange.edit.route is None
            and exchange.edit.pool is None
        }
        versions = {
            m.process.cell.tables.version for m in self._live_entries()
        }
        versions |= {m.process.tables.version for m in self._world.agents}
        if len(versions) > 1:
            self.fail("lost_accepted_edit", f"versions {versions} in force")
        for exchange in self._world.exchanges:
            edit = exchange.edit
            if edit is None or exchange.status != 200:
                continue
            edit_key = f"{exchange.row_name} at {edit.expected_version}"
            # A removed row may be created again with expected version 0.
            recreated = not edit.expected_version and removed & {
                exchange.row_name
            }
            if edit_key in winners and not recreated:
                text = f"{winners[edit_key]} and {edit.edit_id} won {edit_key}"
                self.fail("both_winners", text)
            winners[edit_key] = edit.edit_id
            answer = msgspec.json.decode(exchange.body, type=EditAnswer)
            for member in self._live_entries():
                self._check_edit(member, exchange, answer.version)

    def _check_edit(
        self, member: EntryMember, exchange: Exchange, version: int
    ) -> None:
        tables = member.process.cell.tables
        if exchange.name not in tables.outcomes:
            text = f"{member.name} has no outcome of {exchange.name}"
            self.fail("lost_accepted_edit", text)
        table, _, name = exchange.row_name.partition("/")
        rows = tables.pools if table == "pools" else tables.routes
        row = rows.get(name)
        found = 0 if row is None else row.version
        if row is None and tables.version >= version:
            return
        if found < version:
            text = f"{exchange.name} is missing on {member.name}"
            self.fail("lost_accepted_edit", text)

    def _live_entries(self) -> list[EntryMember]:
        return [m for m in self._world.entries if m.alive]

    def job_submissions(self) -> list[Exchange]:
        return [e for e in self._world.exchanges if e.job is not None]
