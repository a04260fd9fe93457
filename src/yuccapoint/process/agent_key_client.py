"""Claims of idempotency keys at the agents that own them."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from yuccapoint.request.exceptions import RepeatedKeyError
from yuccapoint.request.exceptions import RequestError
from yuccapoint.request.exceptions import UnknownKeyError
from yuccapoint.request.verdict import Verdict

if TYPE_CHECKING:
    from yuccapoint.process.request_forwarder import RequestForwarder
    from yuccapoint.request.key_owners import KeyOwner
    from yuccapoint.request.key_owners import KeyOwners
    from yuccapoint.request.router import Router
    from yuccapoint.request.service_request import ServiceRequest

MAX_LOG_SILENCE_S = 600.0
RETRY_AFTER_S = 1.0


class AgentKeyClient:
    """Claims and releases keys on routes with ``once = agent``.

    Parameters
    ----------
    forwarder : RequestForwarder
        Holds the sessions to the agents.
    router : Router
        Holds the agents' addresses.
    owners : KeyOwners
        Maps a key to the agents that own it.
    """

    def __init__(
        self, forwarder: RequestForwarder, router: Router, owners: KeyOwners
    ) -> None:
        self._forwarder = forwarder
        self._router = router
        self._owners = owners
        self.log_answered_at_s = 0.0

    async def claim(self, request: ServiceRequest) -> None:
        """Claim a request's key before it is sent.

        Raises
        ------
        RepeatedKeyError
            The key was claimed before.
        UnknownKeyError
            It can't be determined whether the key was claimed before.
        RequestError
            This entry can't claim keys now; the request was not run.
        """
        now_s = time.monotonic()
        if now_s - self.log_answered_at_s > MAX_LOG_SILENCE_S:
            raise RequestError(
                "the log does not answer; keys can't be claimed",
                Verdict.NOT_RUN,
                RETRY_AFTER_S,
            )
        owners = self._owners.owners(
            request.route.pool,
            request.scope,
            request.key,
            time.time_ns() // 1_000_000,
        )
        if not owners:
            raise RequestError(
                f"pool {request.route.pool} has no VM", None, RETRY_AFTER_S
            )
        for owner in owners:
            if not owner.present:
                raise UnknownKeyError(
                    f"{owner.vm}, an owner of the key, is lost"
                )
        try:
            async with asyncio.timeout(request.deadline_s - now_s):
                for owner in owners:
                    await self._claim_at(request, owner)
        except TimeoutError:
            raise UnknownKeyError(
                "the agent that owns the key did not answer in time"
            ) from None

    def release(self, request: ServiceRequest) -> None:
        """Release the key of a request that has certainly not run."""
        while request.claimed_key_vms:
            vm = request.claimed_key_vms.pop()
            address = self._router.session_addresses.get(vm)
            if address is None:
                continue
            session = self._forwarder.session_to(vm, address)
            session.release(request.scope, request.key, request.request_id)

    async def _claim_at(
        self, request: ServiceRequest, owner: KeyOwner
    ) -> None:
        address = self._router.session_addresses.get(owner.vm)
        if address is None:
            raise UnknownKeyError(
                f"{owner.vm}, an owner of the key, is not reachable"
            )
        session = self._forwarder.session_to(owner.vm, address)
        try:
            answer = await session.claim(
                request.scope, request.key, request.request_id
            )
        except RequestError as error:
            raise UnknownKeyError(str(error)) from None
        if answer.refusal:
            raise RepeatedKeyError(answer.refusal)
        request.claimed_key_vms.append(owner.vm)
        if answer.incarnation != owner.incarnation:
            raise UnknownKeyError(
                f"{owner.vm}, an owner of the key, has restarted"
            )
        if answer.remembers_for_s < owner.must_remember_s:
            raise UnknownKeyError(f"{owner.vm} may have expired the key")
