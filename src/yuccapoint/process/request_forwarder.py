"""Sends a request to an endpoint and retries what may be retried."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from yuccapoint.connection.agent_session import AgentSession
from yuccapoint.connection.agent_session import split_body
from yuccapoint.connection.frames import RequestHead
from yuccapoint.request.exceptions import DeadlinePassedError
from yuccapoint.request.exceptions import NoEndpointError
from yuccapoint.request.exceptions import RequestError
from yuccapoint.request.retry_budget import RetryBudget
from yuccapoint.request.verdict import Verdict

if TYPE_CHECKING:
    import random

    from yuccapoint.connection.frames import AnswerHead
    from yuccapoint.process.logs import Logs
    from yuccapoint.process.metrics import Metrics
    from yuccapoint.request.pending_answer import PendingAnswer
    from yuccapoint.request.router import RouteDecision
    from yuccapoint.request.router import Router
    from yuccapoint.request.service_request import ServiceRequest

FIRST_BACKOFF_S = 0.005
MAX_BACKOFF_S = 0.2
SERVER_ERROR = 500


class Forwarded:
    """An answer whose head has come."""

    __slots__ = ("_session", "decision", "head", "pending", "request_id")

    def __init__(
        self,
        decision: RouteDecision,
        head: AnswerHead,
        pending: PendingAnswer,
        session: AgentSession,
        request_id: int,
    ) -> None:
        self.decision = decision
        self.head = head
        self.pending = pending
        self.request_id = request_id
        self._session = session

    def close(self) -> None:
        """Forget the request; the agent is told if the body is not out."""
        self._session.forget(self.request_id)

    def done(self) -> None:
        """Forget a request whose answer came whole."""
        self._session.done(self.request_id)


class RequestForwarder:
    """Chooses endpoints, keeps the sessions and the retry budgets.

    Parameters
    ----------
    name : str
        This entry's name.
    incarnation : int
        This entry's incarnation.
    router : Router
        The choice of endpoints.
    rng : random.Random
        Source of jitter.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        router: Router,
        rng: random.Random,
        logs: Logs,
        metrics: Metrics,
    ) -> None:
        self._name = name
        self._incarnation = incarnation
        self._router = router
        self._rng = rng
        self._logs = logs
        self._metrics = metrics
        self._sessions: dict[str, AgentSession] = {}
        self._budgets: dict[str, RetryBudget] = {}

    async def forward(self, request: ServiceRequest) -> Forwarded:
        """Send a request until an answer's head has come.

        Raises
        ------
        RequestError
            No answer came; its verdict says what is known.
        """
        budget = self._budget(request)
        budget.earn()
        verdict = Verdict.NOT_RUN
        backoff_s = FIRST_BACKOFF_S
        while True:
            try:
                return await self._try(request)
            except NoEndpointError as error:
                if request.tried:
                    error.verdict = verdict
                raise
            except RequestError as error:
                if error.verdict is not Verdict.NOT_RUN:
                    verdict = error.verdict
                if not error.verdict.allows_retry(
                    idempotent=request.idempotent
                ):
                    raise
                error.verdict = verdict
                if not budget.spend():
                    raise
                wait_s = self._rng.uniform(0, backoff_s)
                if time.monotonic() + wait_s >= request.deadline_s:
                    raise
                self._metrics.count("retries", route=request.route.name)
            await asyncio.sleep(wait_s)
            backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)

    def close(self) -> None:
        """Close all sessions."""
        for session in self._sessions.values():
            session.close()
        self._sessions.clear()

    @property
    def dropped_answers(self) -> int:
        """Answers that found nobody waiting."""
        return sum(session.dropped for session in self._sessions.values())

    async def _try(self, request: ServiceRequest) -> Forwarded:
        now_s = time.monotonic()
        decision = self._router.choose(request.route, request.tried, now_s)
        view = decision.view
        request.tried.add(view.key)
        self._log(request, decision)
        view.own_in_flight += 1
        failed = True
        try:
            forwarded = await self._send(request, decision)
            failed = forwarded.head.status >= SERVER_ERROR
            return forwarded
        except RequestError as error:
            failed = error.status >= SERVER_ERROR
            raise
        finally:
            view.own_in_flight -= 1
            view.note_result(failed=failed)

    async def _send(
        self, request: ServiceRequest, decision: RouteDecision
    ) -> Forwarded:
        session = self._session(decision)
        request_id = session.next_id()
        parts = split_body(request.chunks)
        head = RequestHead(
            request_id,
            decision.view.service,
            decision.view.key.partition("/")[2],
            request.route.name,
            request.customer,
            request.method,
            request.target,
            request.headers,
            request.deadline_s - time.monotonic(),
            request.idempotent,
            request.key,
            parts[0] if parts else b"",
            len(parts) < 2,
        )
        sent = False
        try:
            async with asyncio.timeout(request.deadline_s - time.monotonic()):
                pending = await session.call(head, parts[1:])
                sent = True
                answer = await pending.head()
        except TimeoutError:
            session.forget(request_id)
            raise DeadlinePassedError(
                "the deadline passed",
                Verdict.MAY_HAVE_RUN if sent else Verdict.NOT_RUN,
            ) from None
        except RequestError:
            session.done(request_id)
            raise
        return Forwarded(decision, answer, pending, session, request_id)

    def _session(self, decision: RouteDecision) -> AgentSession:
        view = decision.view
        session = self._sessions.get(view.vm)
        if session is not None and session.address == view.session_address:
            return session
        if session is not None:
            session.close()

        def on_load(in_flight: int) -> None:
            view.set_load(in_flight, time.monotonic())

        session = AgentSession(
            self._name, self._incarnation, view.session_address, on_load
        )
        self._sessions[view.vm] = session
        return session

    def _budget(self, request: ServiceRequest) -> RetryBudget:
        route = request.route
        budget = self._budgets.get(route.name)
        if budget is None or budget.ratio != route.retry_ratio:
            budget = RetryBudget(route.retry_ratio)
            self._budgets[route.name] = budget
        return budget

    def _log(self, request: ServiceRequest, decision: RouteDecision) -> None:
        self._logs.say(
            "route",
            f"{request.route.name} to {decision.view.key}",
            request=request.request_id,
            customer=request.customer,
            tier=decision.tier,
            candidates=decision.candidates,
            load=round(decision.load, 3),
            policy=request.route.policy,
            tries=len(request.tried),
        )
