"""Load of callers, who send requests and check each response."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from tornado.httpclient import AsyncHTTPClient
from tornado.httpclient import HTTPClientError
from tornado.httpclient import HTTPRequest

from yuccapoint.process.caller_server import VERDICT_HEADER

if TYPE_CHECKING:
    import random

    from yuccapoint_standins.deployment import Deployment
    from yuccapoint_standins.invariant_checker import InvariantChecker

REQUEST_TIMEOUT_S = 20.0
MAX_CLIENTS = 1_000


class CallerLoad:
    """Sends requests to all entries and records their outcomes.

    Attributes
    ----------
    latencies_s : list of float
        Latency of each complete response.
    not_run : set of str
        Names of requests that were reported as not run.
    non_idempotent : set of str
        Names of non-idempotent requests.
    """

    def __init__(
        self,
        deployment: Deployment,
        checker: InvariantChecker,
        rng: random.Random,
    ) -> None:
        self.latencies_s: list[float] = []
        self.not_run: set[str] = set()
        self.non_idempotent: set[str] = set()
        self.sent = 0
        self.answered = 0
        self.unknown = 0
        self._deployment = deployment
        self._checker = checker
        self._rng = rng
        self._client = AsyncHTTPClient(
            force_instance=True,
            max_clients=MAX_CLIENTS,
            max_body_size=1 << 30,
        )

    async def send(
        self, path: str, body: bytes, *, idempotent: bool, key: str = ""
    ) -> None:
        """Send one request and check its response."""
        self.sent += 1
        name = f"r{self.sent}"
        if not idempotent:
            self.non_idempotent.add(name)
        entry = self._rng.choice(self._deployment.entries)
        address = entry.settings.listen.caller_address
        headers = {"X-Request-Name": name}
        if key:
            headers["Idempotency-Key"] = key
        request = HTTPRequest(
            f"http://{address}{path}",
            method="POST",
            headers=headers,
            body=body,
            request_timeout=REQUEST_TIMEOUT_S,
        )
        started_s = time.monotonic()
        try:
            response = await self._client.fetch(request, raise_error=False)
        except (HTTPClientError, OSError):
            self.unknown += 1
            return
        verdict = response.headers.get(VERDICT_HEADER, "")
        if verdict == "not-run":
            self.not_run.add(name)
            return
        if verdict != "ran" or response.error is not None:
            self.unknown += 1
            return
        self.answered += 1
        self.latencies_s.append(time.monotonic() - started_s)
        name_matches = response.headers.get("X-Request-Name") == name
        self._checker.on_response(
            intact=name_matches and response.body == body
        )

    async def run(
        self, path: str, rate_per_s: float, until_s: float, *, idempotent: bool
    ) -> None:
        """Send requests at an average rate until a deadline."""
        pending: set[asyncio.Task[None]] = set()
        while time.monotonic() < until_s:
            body = self._rng.randbytes(self._rng.randrange(1, 2_000))
            key = "" if idempotent else f"key-{self.sent}"
            task = asyncio.ensure_future(
                self.send(path, body, idempotent=idempotent, key=key)
            )
            pending.add(task)
            task.add_done_callback(pending.discard)
            await asyncio.sleep(self._rng.expovariate(rate_per_s))
        if pending:
            await asyncio.gather(*pending)

    def close(self) -> None:
        """Close the connections."""
        self._client.close()

    def count_runs(self) -> dict[str, int]:
        """Count the runs of each request over all endpoints."""
        run_counts: dict[str, int] = {}
        for vm in self._deployment.vms:
            for name, count in vm.endpoint.runs.items():
                run_counts[name] = run_counts.get(name, 0) + count
        return run_counts

    def latency_percentile_s(self, share: float) -> float:
        """Return a percentile of the latency; 0 without responses."""
        ordered = sorted(self.latencies_s)
        if not ordered:
            return 0.0
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
