"""Mechanisms broken on purpose, to see the oracle's checks go red."""

from __future__ import annotations

from contextlib import AbstractContextManager
from typing import Any
from typing import TYPE_CHECKING
from unittest.mock import patch

import msgspec

from yuccapoint.connection.agent_session import AgentSession
from yuccapoint.connection.log_writer import LogWriter
from yuccapoint.job import job_board
from yuccapoint.job import lease_rules
from yuccapoint.job.claim_ranks import ClaimRanks
from yuccapoint.job.job_board import JobBoard
from yuccapoint.job.job_entry import JobState
from yuccapoint.job.records import JobClaimed
from yuccapoint.job.resource_allocator import ResourceAllocator
from yuccapoint.job.size import Size
from yuccapoint.job.task_manager import TaskManager
from yuccapoint.job.vm_view import VmView
from yuccapoint.process.agent_process import AgentProcess
from yuccapoint.process.endpoint_registry import EndpointRegistry
from yuccapoint.process.entry_process import EntryProcess
from yuccapoint.process.pending_commits import PendingCommits
from yuccapoint.request.endpoint_view import EndpointState
from yuccapoint.request.exceptions import SessionLostError
from yuccapoint.request.key_claims import KeyClaims
from yuccapoint.request.pending_response import PendingResponse
from yuccapoint.request.verdict import Verdict
from yuccapoint.version import tables
from yuccapoint.version.compiled_tables import CompiledTables
from yuccapoint.version.table_replica import TableReplica

if TYPE_CHECKING:
    from collections.abc import Callable

Patch = AbstractContextManager[Any]
MUTATIONS: dict[str, Callable[[], Patch]] = {}


def mutation(
    name: str,
) -> Callable[[Callable[[], Patch]], Callable[[], Patch]]:
    """Register a mutation under a name."""

    def register(make: Callable[[], Patch]) -> Callable[[], Patch]:
        MUTATIONS[name] = make
        return make

    return register


@mutation("leaders wait for granted leases")
def no_wait() -> Patch:
    return patch.object(lease_rules, "granter_deadline_s", lambda at, ttl: at)


@mutation("leaders stop with their long lease")
def endless_lead() -> Patch:
    return patch.object(
        lease_rules, "leadership_deadline_s", lambda at: at + 1e6
    )


@mutation("a claim needs a queued job")
def claims_all() -> Patch:
    whole = JobBoard._claim

    def claim(board: JobBoard, record: JobClaimed, stamp_ms: int) -> str:
        entry = board.jobs.get(record.job_id)
        if entry is not None and entry.state is JobState.RUNNING:
            board._end_attempt(entry)
            board._requeue(entry, stamp_ms, "mutated")
            entry.attempt = record.attempt - 1
        return whole(board, record, stamp_ms)

    return patch.dict(job_board._HANDLERS, {JobClaimed: claim})


@mutation("attempts are numbered anew")
def same_attempt() -> Patch:
    whole = JobBoard._requeue

    def requeue(board: JobBoard, entry: Any, stamp_ms: int, text: str) -> None:
        entry.attempt -= 1
        whole(board, entry, stamp_ms, text)

    return patch.object(JobBoard, "_requeue", requeue)


@mutation("a grant answers one report of one term")
def any_grant() -> Patch:
    whole = TaskManager.on_grant

    def on_grant(keeper: TaskManager, grant: Any, now_s: float) -> Any:
        taken = msgspec.structs.replace(
            grant, term=keeper.term, reply_to=keeper.sequence
        )
        return whole(keeper, taken, now_s)

    return patch.object(TaskManager, "on_grant", on_grant)


@mutation("the agent's ledger refuses")
def no_ledger() -> Patch:
    def reserve(ledger: ResourceAllocator, name: str, size: Any) -> None:
        ledger._reservations[name] = size
        ledger.committed = ledger.committed + size

    return patch.object(ResourceAllocator, "reserve", reserve)


@mutation("the leader counts what it claimed")
def no_count() -> Patch:
    def count(view: VmView, missing: Any, reserve: Any) -> None:
        del missing, reserve
        view.free = Size(1 << 40, 1 << 40, 99)

    return patch.object(VmView, "update_free", count)


@mutation("one entry claims a job first")
def all_claim() -> Patch:
    return patch.object(ClaimRanks, "_rank", lambda ranks, pool, shard: 0)


@mutation("the log's order decides on quotas")
def no_quota() -> Patch:
    def quota_left(board: JobBoard, pool: Any, team: str) -> int:
        del board, pool, team
        return 1 << 60

    return patch.object(JobBoard, "quota_left", quota_left)


@mutation("appends are repeated")
def append_once() -> Patch:
    whole = LogWriter.next_append

    def next_append(writer: LogWriter, now_s: float) -> bytes | None:
        if writer.in_flight_append is not None:
            writer.on_appended(writer.sequence)
        return whole(writer, now_s)

    return patch.object(LogWriter, "next_append", next_append)


@mutation("a new agent adopts what runs")
def no_inventory() -> Patch:
    def on_inventory(keeper: TaskManager, running: Any) -> list[Any]:
        del running
        keeper.inventory_loaded = True
        return []

    return patch.object(TaskManager, "on_inventory", on_inventory)


@mutation("answers are matched by request id")
def one_id() -> Patch:
    return patch.object(AgentSession, "next_request_id", lambda session: 1)


@mutation("a lost session may have run the request")
def lost_is_not_run() -> Patch:
    def on_session_lost(answer: PendingResponse) -> None:
        error = SessionLostError("lost", Verdict.NOT_RUN)
        answer._head.set_exception(error)

    return patch.object(PendingResponse, "on_session_lost", on_session_lost)


@mutation("only what did not run is retried")
def retry_all() -> Patch:
    def allows_retry(verdict: Verdict, *, idempotent: bool) -> bool:
        del verdict, idempotent
        return True

    return patch.object(Verdict, "allows_retry", allows_retry)


@mutation("the first claim of a key wins")
def claim_all_keys() -> Patch:
    def apply(claims: KeyClaims, record: Any, stamp_ms: int) -> str:
        del claims, record, stamp_ms
        return ""

    return patch.object(KeyClaims, "apply", apply)


@mutation("agents refuse for leaving endpoints")
def never_leaves() -> Patch:
    def state(*given: Any, **named: Any) -> EndpointState:
        del given, named
        return EndpointState.READY

    return patch.object(EndpointRegistry, "state", state)


@mutation("an unknown state counts as suspected")
def no_unknown_state() -> Patch:
    return patch.object(EndpointState, "_missing_", lambda value: None)


@mutation("agents take newer tables only")
def install_all() -> Patch:
    def apply(held: TableReplica, update: Any) -> bool:
        held.current = CompiledTables(
            update.version, update.routes, update.pools
        )
        return True

    return patch.object(TableReplica, "apply", apply)


@mutation("an edit names the version it was made against")
def never_stale() -> Patch:
    return patch.object(tables, "_version_conflict", lambda row, expected: "")


@mutation("an edit is accepted by the log")
def accept_at_once() -> Patch:
    async def commit(
        commits: PendingCommits, record: Any, now_s: float, timeout_s: float
    ) -> str:
        del timeout_s
        commits._writer.add(record, now_s)
        return ""

    return patch.object(PendingCommits, "commit", commit)


@mutation("an entry waits for its requests")
def entry_stops_at_once() -> Patch:
    return patch.object(EntryProcess, "stop", _stop)


@mutation("an agent waits for its requests")
def agent_stops_at_once() -> Patch:
    return patch.object(AgentProcess, "stop", _stop)


async def _stop(process: Any) -> list[str]:
    process.kill()
    return []
