"""Stand-in of the service that says which workers may run a step."""

from __future__ import annotations

import asyncio

from http_service import serve

MAX_WAITING = 32


class Adviser:
    """Answers after DecideMs and PerWorkerMs for each worker, in turn.

    ``allows(step, worker)`` is whether a worker may run a step; the answer
    doesn't change.
    """

    def __init__(self, rules, allows, note):
        self.rules = rules
        self.allows = allows
        self.note = note
        self.waiting = 0
        self.lock = asyncio.Lock()

    async def start(self, address):
        self.server = await serve(address, self.handle)

    async def handle(self, request):
        if request.path != "/yuccapoint/advise":
            return 404, {}
        if self.waiting >= MAX_WAITING:
            return 429, {}
        body = request.json()
        step, workers = body["Step"], body["Workers"]
        self.waiting += 1
        try:
            async with self.lock:
                spent_ms = self.rules["DecideMs"]
                spent_ms += self.rules["PerWorkerMs"] * len(workers)
                await asyncio.sleep(spent_ms / 1000)
        finally:
            self.waiting -= 1
        allowed = [
            [worker, f"ticket-{step}-{worker}"]
            for worker in workers if self.allows(step, worker)
        ]
        self.note(
            "advice", step=step, asked=len(workers), allowed=len(allowed),
            after_ms=spent_ms,
        )
        return 200, {
            "Allowed": allowed, "ValidityMs": self.rules["ValidityMs"]
        }
