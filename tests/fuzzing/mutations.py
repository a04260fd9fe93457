"""Mutations that disable a mechanism to prove an oracle check fails."""

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
    """Register a mutation under the name of the mechanism it disables."""

    def register(make: Callable[[], Patch]) -> Callable[[], Patch]:
        MUTATIONS[name] = make
        return make

    return register


@mutation("a leader waits until granted leases expire")
def skip_lease_wait() -> Patch:
    return patch.object(lease_rules, "granter_deadline_s", lambda at, ttl: at)


@mutation("a leader stops when its leadership expires")
def lead_forever() -> Patch:
    return patch.object(
        lease_rules, "leadership_deadline_s", lambda at: at + 1e6
    )


@mutation("only a queued job can be claimed")
def claim_any_job() -> Patch:
    original = JobBoard._claim

    def claim(board: JobBoard, record: JobClaimed, stamp_ms: int) -> str:
        entry = board.jobs.get(record.job_id)
        if entry is not None and entry.state is JobState.RUNNING:
            board._end_attempt(entry)
            board._requeue(entry, stamp_ms, "mutated")
            entry.attempt = record.attempt - 1
        return original(board, record, stamp_ms)

    return patch.dict(job_board._HANDLERS, {JobClaimed: claim})


@mutation("each attempt gets a new number")
def reuse_attempt_number() -> Patch:
    original = JobBoard._requeue

    def requeue(board: JobBoard, entry: Any, stamp_ms: int, text: str) -> None:
        entry.attempt -= 1
        original(board, entry, stamp_ms, text)

    return patch.object(JobBoard, "_requeue", requeue)


@mutation("a grant is matched to its report and term")
def accept_any_grant() -> Patch:
    original = TaskManager.on_grant

    def on_grant(manager: TaskManager, grant: Any, now_s: float) -> Any:
        matching = msgspec.structs.replace(
            grant, term=manager.term, reply_to=manager.sequence
        )
        return original(manager, matching, now_s)

    return patch.object(TaskManager, "on_grant", on_grant)


@mutation("the agent refuses tasks beyond its capacity")
def allocator_never_refuses() -> Patch:
    def reserve(allocator: ResourceAllocator, name: str, size: Any) -> None:
        allocator._reservations[name] = size
        allocator.committed = allocator.committed + size

    return patch.object(ResourceAllocator, "reserve", reserve)


@mutation("the leader reserves claimed resources")
def ignore_claimed_resources() -> Patch:
    def count(view: VmView, missing: Any, reserve: Any) -> None:
        del missing, reserve
        view.free = Size(1 << 40, 1 << 40, 99)

    return patch.object(VmView, "update_free", count)


@mutation("one entry is first in rank for a claim")
def all_entries_claim_first() -> Patch:
    return patch.object(ClaimRanks, "_rank", lambda ranks, pool, shard: 0)


@mutation("quotas are enforced in log order")
def ignore_quota() -> Patch:
    def quota_left(board: JobBoard, pool: Any, team: str) -> int:
        del board, pool, team
        return 1 << 60

    return patch.object(JobBoard, "quota_left", quota_left)


@mutation("unacknowledged appends are retried")
def never_retry_append() -> Patch:
    original = LogWriter.next_append

    def next_append(writer: LogWriter, now_s: float) -> bytes | None:
        if writer.in_flight_append is not None:
            writer.on_appended(writer.sequence)
        return original(writer, now_s)

    return patch.object(LogWriter, "next_append", next_append)


@mutation("a restarted agent adopts running tasks")
def ignore_inventory() -> Patch:
    def on_inventory(manager: TaskManager, running: Any) -> list[Any]:
        del running
        manager.inventory_loaded = True
        return []

    return patch.object(TaskManager, "on_inventory", on_inventory)


@mutation("responses are matched by request id")
def reuse_request_id() -> Patch:
    return patch.object(AgentSession, "next_request_id", lambda session: 1)


@mutation("requests of a lost session may have run")
def report_lost_as_not_run() -> Patch:
    def on_session_lost(answer: PendingResponse) -> None:
        error = SessionLostError("lost", Verdict.NOT_RUN)
        answer._head.set_exception(error)

    return patch.object(PendingResponse, "on_session_lost", on_session_lost)


@mutation("only requests that did not run are retried")
def retry_always() -> Patch:
    def allows_retry(verdict: Verdict, *, idempotent: bool) -> bool:
        del verdict, idempotent
        return True

    return patch.object(Verdict, "allows_retry", allows_retry)


@mutation("the first claim of a key wins")
def accept_all_key_claims() -> Patch:
    def apply(claims: KeyClaims, record: Any, stamp_ms: int) -> str:
        del claims, record, stamp_ms
        return ""

    return patch.object(KeyClaims, "apply", apply)


@mutation("agents refuse requests to leaving endpoints")
def ignore_leaving() -> Patch:
    def state(*given: Any, **named: Any) -> EndpointState:
        del given, named
        return EndpointState.READY

    return patch.object(EndpointRegistry, "state", state)


@mutation("an unknown state is treated as suspected")
def reject_unknown_state() -> Patch:
    return patch.object(EndpointState, "_missing_", lambda value: None)


@mutation("agents install only newer tables")
def install_any_tables() -> Patch:
    def apply(replica: TableReplica, update: Any) -> bool:
        replica.current = CompiledTables(
            update.version, update.routes, update.pools
        )
        return True

    return patch.object(TableReplica, "apply", apply)


@mutation("an edit is checked against its expected version")
def accept_stale_edits() -> Patch:
    return patch.object(tables, "_version_conflict", lambda row, expected: "")


@mutation("an edit is accepted after its log append")
def accept_before_commit() -> Patch:
    async def commit(
        commits: PendingCommits, record: Any, now_s: float, timeout_s: float
    ) -> str:
        del timeout_s
        commits._writer.add(record, now_s)
        return ""

    return patch.object(PendingCommits, "commit", commit)


@mutation("an entry drains its requests before it stops")
def entry_stops_at_once() -> Patch:
    return patch.object(EntryProcess, "stop", _stop)


@mutation("an agent drains its requests before it stops")
def agent_stops_at_once() -> Patch:
    return patch.object(AgentProcess, "stop", _stop)


async def _stop(process: Any) -> list[str]:
    process.kill()
    return []
