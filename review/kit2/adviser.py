"""Stand-in of the service that decides which workers may run a step."""

from __future__ import annotations

import asyncio
import time

import msgspec
from tornado.httpserver import HTTPServer

from kit2.http import respond

MAX_WAITING = 32


class Adviser:
    """Allows every worker, and serves one call at a time for each caller."""

    def __init__(self, name, decide_ms, per_worker_ms, validity_ms, record):
        self.name = name
        self.calls = 0
        self._decide_ms = decide_ms
        self._per_worker_ms = per_worker_ms
        self._validity_ms = validity_ms
        self._record = record
        self._turns = {}
        self._waiting = 0
        self._tickets = {}
        self._server = HTTPServer(self._on_request)
        self._tasks = set()

    def listen(self, ip, port):
        self._server.listen(port, ip)

    async def stop(self):
        """Stop listening and close all connections."""
        self._server.stop()
        await self._server.close_all_connections()
        for task in self._tasks:
            task.cancel()

    def is_valid(self, step, worker_id, ticket):
        """Return whether a ticket permits a step on a worker now."""
        until_s = self._tickets.get((step, worker_id, ticket), 0.0)
        return time.monotonic() < until_s

    def _on_request(self, request):
        task = asyncio.ensure_future(self._serve(request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, request):
        if self._waiting >= MAX_WAITING:
            respond(request, 429, b"")
            return
        self._waiting += 1
        turn = self._turns.setdefault(request.remote_ip, asyncio.Lock())
        async with turn:
            body = msgspec.json.decode(request.body)
            step, workers = body["Step"], body["Workers"]
            needed_ms = self._decide_ms + self._per_worker_ms * len(workers)
            await asyncio.sleep(needed_ms / 1000)
        self._waiting -= 1
        self.calls += 1
        rows = []
        for worker_id in workers:
            ticket = f"{self.name}-{self.calls}-{worker_id}"
            until_s = time.monotonic() + self._validity_ms / 1000
            self._tickets[(step, worker_id, ticket)] = until_s
            rows.append([worker_id, ticket])
        self._record("adviser answers", adviser=self.name, step=step)
        respond(request, 200, msgspec.json.encode({"Allowed": rows}))
