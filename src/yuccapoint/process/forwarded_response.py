"""A response that is passed on to the caller."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from yuccapoint.connection.agent_session import AgentSession
    from yuccapoint.connection.frames import ResponseChunk
    from yuccapoint.connection.frames import ResponseHead
    from yuccapoint.request.pending_response import PendingResponse
    from yuccapoint.request.region_link_budget import RegionLinkBudget
    from yuccapoint.request.router import RouteDecision


class ForwardedResponse:
    """A response whose head was received.

    The request counts as in flight until the response is complete or
    abandoned.
    """

    __slots__ = (
        "_customer",
        "_in_flight",
        "_session",
        "decision",
        "head",
        "link",
        "pending",
        "request_id",
    )

    def __init__(
        self,
        decision: RouteDecision,
        head: ResponseHead,
        pending: PendingResponse,
        session: AgentSession,
        request_id: int,
        customer: str,
    ) -> None:
        self._customer = customer
        self.decision = decision
        self.head = head
        self.pending = pending
        self.request_id = request_id
        self._session = session
        self._in_flight = True
        self.link: RegionLinkBudget | None = None

    async def next_chunk(self) -> ResponseChunk:
        """Wait for the next chunk of the body and grant one credit.

        Raises
        ------
        SessionLostError
            The rest of the body is lost.
        """
        chunk = await self.pending.chunk()
        if self.link is not None:
            self.link.consume(len(chunk.data))
        if not chunk.last:
            self._session.send_credit(self.request_id)
        return chunk

    def close(self) -> None:
        """Abandon the response; cancel it at the agent if incomplete."""
        self._session.cancel(self.request_id)
        self._leave()

    def complete(self) -> None:
        """Release the request after its response is complete."""
        self._session.complete(self.request_id)
        self._leave()

    def _leave(self) -> None:
        if self._in_flight:
            self._in_flight = False
            self.decision.view.remove_request(self._customer)
