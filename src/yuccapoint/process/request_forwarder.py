"""Forwarding of requests to endpoints, with retries and hedging."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from yuccapoint.connection.agent_session import AgentSession
from yuccapoint.connection.body_parts import split_body
from yuccapoint.connection.frames import RequestHead
from yuccapoint.process.forwarded_response import ForwardedResponse
from yuccapoint.process.retry_decision import may_retry
from yuccapoint.request.exceptions import DeadlinePassedError
from yuccapoint.request.exceptions import EndpointFailedError
from yuccapoint.request.exceptions import NoEndpointError
from yuccapoint.request.exceptions import RequestError
from yuccapoint.request.exceptions import SessionLostError
from yuccapoint.request.pending_response import PendingResponse
from yuccapoint.request.retry_budget import RetryBudget
from yuccapoint.request.verdict import Verdict

if TYPE_CHECKING:
    import random

    from yuccapoint.process.metrics import Metrics
    from yuccapoint.process.process_logger import ProcessLogger
    from yuccapoint.request.region_link_budget import RegionLinkBudget
    from yuccapoint.request.router import RouteDecision
    from yuccapoint.request.router import Router
    from yuccapoint.request.service_request import ServiceRequest

FIRST_BACKOFF_S = 0.005
MAX_BACKOFF_S = 0.2
MAX_RETRY_BUDGETS = 10_000
FIRST_SERVER_ERROR = 500


class RequestForwarder:
    """Selects endpoints and owns the sessions and retry budgets.

    Parameters
    ----------
    name : str
        This entry's name.
    incarnation : int
        This entry's incarnation.
    router : Router
        Selects the endpoint of each attempt.
    rng : random.Random
        Source of the retry jitter.
    link : RegionLinkBudget
        Budget of bytes to and from the other region.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        router: Router,
        rng: random.Random,
        logger: ProcessLogger,
        metrics: Metrics,
        link: RegionLinkBudget,
    ) -> None:
        self._link = link
        self._name = name
        self._incarnation = incarnation
        self._router = router
        self._rng = rng
        self._logger = logger
        self._metrics = metrics
        self._sessions: dict[str, AgentSession] = {}
        self._budgets: dict[str, RetryBudget] = {}
        self._dropped_by_closed = 0

    async def forward(self, request: ServiceRequest) -> ForwardedResponse:
        """Send a request, with retries, until a response's head arrives.

        Raises
        ------
        RequestError
            No response arrived; the verdict tells whether it may have run.
        """
        budget = self._budget(request)
        budget.deposit()
        verdict = Verdict.NOT_RUN
        backoff_s = FIRST_BACKOFF_S
        while True:
            try:
                return await self._attempt_hedged(request, budget)
            except NoEndpointError as error:
                if request.tried_endpoints:
                    error.verdict = verdict
                raise
            except RequestError as error:
                if error.verdict is not Verdict.NOT_RUN:
                    verdict = error.verdict
                if not may_retry(request, error, self._logger):
                    raise
                error.verdict = verdict
                if not budget.withdraw():
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
    def unmatched_responses(self) -> int:
        """Number of responses whose request no longer waited."""
        dropped = self._dropped_by_closed
        for session in self._sessions.values():
            dropped += session.unmatched_responses
        return dropped

    async def _attempt_hedged(
        self, request: ServiceRequest, budget: RetryBudget
    ) -> ForwardedResponse:
        after_s = request.route.hedge_after_s
        if not request.idempotent or after_s <= 0:
            return await self._attempt(request)
        tries = {asyncio.ensure_future(self._attempt(request))}
        try:
            done, _ = await asyncio.wait(tries, timeout=after_s)
            if not done and budget.withdraw():
                self._metrics.count("hedges", route=request.route.name)
                tries.add(asyncio.ensure_future(self._attempt(request)))
            return await _first_response(tries)
        finally:
            for task in tries:
                task.cancel()
                task.add_done_callback(_discard_response)

    async def _attempt(self, request: ServiceRequest) -> ForwardedResponse:
        now_s = time.monotonic()
        decision = self._choose(request, now_s)
        view = decision.view
        request.tried_endpoints.add(view.key)
        self._log_attempt(request, decision)
        view.add_request(request.customer)
        try:
            forwarded = await self._send(request, decision)
        except RequestError as error:
            view.remove_request(request.customer)
            request.failed_runs += error.verdict is Verdict.MAY_HAVE_RUN
            self._record_result(decision, failed=_is_endpoint_failure(error))
            raise
        except asyncio.CancelledError:
            view.remove_request(request.customer)
            raise
        self._record_result(
            decision, failed=forwarded.head.status >= FIRST_SERVER_ERROR
        )
        return forwarded

    def _choose(self, request: ServiceRequest, now_s: float) -> RouteDecision:
        wait_s = self._link.wait_s(self._router.entry_count, now_s)
        try:
            return self._router.choose(
                request.route,
                request.tried_endpoints,
                now_s,
                allow_far=wait_s <= 0,
                customer=request.customer,
            )
        except NoEndpointError as error:
            error.retry_after_s = max(error.retry_after_s, wait_s)
            raise

    def _record_result(self, decision: RouteDecision, *, failed: bool) -> None:
        view = decision.view
        now_s = time.monotonic()
        if not self._router.record_result(view, now_s, failed=failed):
            return
        self._metrics.count("quarantines", state=view.state.value)
        self._logger.log(
            "route",
            f"{view.key} is {view.state.value}",
            failure_rate=round(view.failure_rate, 3),
        )

    async def _send(
        self, request: ServiceRequest, decision: RouteDecision
    ) -> ForwardedResponse:
        view = decision.view
        session = self.session_to(view.vm, view.session_address)
        request_id = session.next_request_id()
        parts = split_body(request.body_chunks)
        if decision.tier == "far":
            self._link.consume(sum(len(part) for part in parts))
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
        pending = PendingResponse(head.endpoint)
        try:
            async with asyncio.timeout(request.deadline_s - time.monotonic()):
                await session.call(head, parts[1:], pending)
                response = await pending.head()
        except TimeoutError:
            verdict = Verdict.NOT_RUN
            if pending.sent:
                verdict = Verdict.MAY_HAVE_RUN
            session.cancel(request_id)
            raise DeadlinePassedError("the deadline passed", verdict) from None
        except asyncio.CancelledError:
            session.cancel(request_id)
            raise
        except RequestError:
            session.complete(request_id)
            raise
        forwarded = ForwardedResponse(
            decision, response, pending, session, request_id, request.customer
        )
        if decision.tier == "far":
            forwarded.link = self._link
            self._link.consume(len(response.body))
        return forwarded

    def session_to(self, vm: str, address: str) -> AgentSession:
        """Return the session to an agent; it connects on first use."""
        session = self._sessions.get(vm)
        if session is not None and session.address == address:
            return session
        if session is not None:
            self._dropped_by_closed += session.unmatched_responses
            session.close()

        def on_load(endpoint: str, in_flight: int) -> None:
            view = self._router.views.get(f"{vm}/{endpoint}")
            if view is not None:
                view.record_load(in_flight, time.monotonic())

        session = AgentSession(
            self._name,
            self._incarnation,
            address,
            on_load,
            vm,
            self._logger.log,
        )
        self._sessions[vm] = session
        return session

    def _budget(self, request: ServiceRequest) -> RetryBudget:
        ratio = request.route.retry_ratio
        budget = self._budgets.get(request.scope)
        if budget is None or budget.ratio != ratio:
            budget = RetryBudget(ratio)
            self._budgets[request.scope] = budget
            if len(self._budgets) > MAX_RETRY_BUDGETS:
                del self._budgets[next(iter(self._budgets))]
        return budget

    def _log_attempt(
        self, request: ServiceRequest, decision: RouteDecision
    ) -> None:
        self._logger.log(
            "route",
            f"{request.route.name} to {decision.view.key}",
            route=request.route.name,
            pool=request.route.pool,
            vm=decision.view.vm,
            request=request.request_id,
            customer=request.customer,
            tier=decision.tier,
            candidates=decision.candidates,
            load=round(decision.load, 3),
            policy=request.route.policy,
            tries=len(request.tried_endpoints),
        )


async def _first_response(
    tries: set[asyncio.Task[ForwardedResponse]],
) -> ForwardedResponse:
    failure: RequestError | None = None
    waiting = set(tries)
    while waiting:
        done, waiting = await asyncio.wait(
            waiting, return_when=asyncio.FIRST_COMPLETED
        )
        for task in done:
            try:
                response = task.result()
            except RequestError as error:
                failure = _more_severe(failure, error)
                continue
            tries.discard(task)
            return response
    if failure is None:
        raise DeadlinePassedError("the deadline passed", Verdict.MAY_HAVE_RUN)
    raise failure


def _more_severe(
    previous: RequestError | None, error: RequestError
) -> RequestError:
    if previous is None or previous.verdict is Verdict.NOT_RUN:
        return error
    return previous


def _discard_response(task: asyncio.Task[ForwardedResponse]) -> None:
    if task.cancelled() or task.exception() is not None:
        return
    task.result().close()


def _is_endpoint_failure(error: RequestError) -> bool:
    if isinstance(error, EndpointFailedError | SessionLostError):
        return True
    return error.verdict is not Verdict.NOT_RUN
