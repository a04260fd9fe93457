"""Idempotency keys of the requests of an entry's callers."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from yuccapoint.exceptions import YuccapointError
from yuccapoint.job.records import KeyClaimed
from yuccapoint.job.records import KeyReleased
from yuccapoint.request.exceptions import RepeatedKeyError
from yuccapoint.request.exceptions import RequestError
from yuccapoint.request.verdict import Verdict

if TYPE_CHECKING:
    from yuccapoint.connection.log_writer import LogWriter
    from yuccapoint.process.agent_key_client import AgentKeyClient
    from yuccapoint.process.pending_commits import PendingCommits
    from yuccapoint.request.service_request import ServiceRequest


class RequestKeys:
    """Claims keys at agents or in the log, as their routes ask.

    Parameters
    ----------
    agent_keys : AgentKeyClient
        Claims keys at agents.
    commits : PendingCommits
        Claims keys in the log.
    writer : LogWriter
        Releases keys in the log.
    """

    __slots__ = ("_agent_keys", "_commits", "_writer")

    def __init__(
        self,
        agent_keys: AgentKeyClient,
        commits: PendingCommits,
        writer: LogWriter,
    ) -> None:
        self._agent_keys = agent_keys
        self._commits = commits
        self._writer = writer

    async def claim(self, request: ServiceRequest) -> None:
        """Claim a request's idempotency key if its route requires it.

        Raises
        ------
        RepeatedKeyError
            The key was claimed before.
        RequestError
            The claim was not decided in time; the request was not run, and
            a claim that still reaches the log is released.
        """
        if not request.key:
            return
        if request.route.once == "agent" and not request.idempotent:
            await self._agent_keys.claim(request)
        if request.route.once != "log":
            return
        record = KeyClaimed(
            request.customer,
            request.route.name,
            request.key,
            request.request_id,
        )
        now_s = time.monotonic()
        left_s = request.deadline_s - now_s
        try:
            refusal = await self._commits.commit(record, now_s, left_s)
        except YuccapointError as error:
            refused = RequestError(str(error), Verdict.NOT_RUN, 1.0)
            await self.release(request, refused)
            raise refused from None
        if refusal:
            raise RepeatedKeyError(
                "a request with this key was accepted before"
            )

    async def release(
        self, request: ServiceRequest, error: RequestError
    ) -> None:
        """Release the key of a request that has certainly not run."""
        if not request.key or error.verdict is not Verdict.NOT_RUN:
            return
        self._agent_keys.release(request)
        if request.route.once != "log":
            return
        record = KeyReleased(
            request.customer,
            request.route.name,
            request.key,
            request.request_id,
        )
        self._writer.add(record, time.monotonic())
