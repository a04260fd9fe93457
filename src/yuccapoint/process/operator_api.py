"""HTTP port of an entry for operators."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING
from typing import TypeVar

import msgspec
from tornado.iostream import StreamClosedError
from tornado.web import Application
from tornado.web import RequestHandler

from yuccapoint.connection.messages import DrainVm
from yuccapoint.decoding import decode_json
from yuccapoint.exceptions import DecodingError
from yuccapoint.exceptions import YuccapointError
from yuccapoint.job.job import Job
from yuccapoint.job.records import JobCancelled
from yuccapoint.job.records import JobSubmitted
from yuccapoint.job.records import PoolEdited
from yuccapoint.job.records import RouteEdited
from yuccapoint.process import operator_views as views
from yuccapoint.process.edit_views import edit_answer
from yuccapoint.process.edit_views import edit_status
from yuccapoint.process.operator_messages import DecisionView
from yuccapoint.process.operator_messages import DrainAnswer
from yuccapoint.process.operator_messages import EditBody
from yuccapoint.process.operator_messages import ErrorBody
from yuccapoint.process.operator_messages import Explanation
from yuccapoint.process.operator_messages import RequestExplanation
from yuccapoint.request.exceptions import AccessRefusedError
from yuccapoint.request.verdict import Verdict

if TYPE_CHECKING:
    from yuccapoint.job.records import Record
    from yuccapoint.process.entry_process import EntryProcess

COMMIT_TIMEOUT_S = 4.0
STATUS_BAD_REQUEST = 400
STATUS_NOT_FOUND = 404
STATUS_CONFLICT = 409
STATUS_UNAVAILABLE = 503
STATUS_OUTCOME_UNKNOWN = 504
BodyT = TypeVar("BodyT")


class OperatorHandler(RequestHandler):
    """Base of the operators' handlers."""

    entry: EntryProcess
    operator: str

    def initialize(self, entry: EntryProcess) -> None:
        """Store the process that the handler serves."""
        self.entry = entry

    def prepare(self) -> None:
        """Authenticate the operator."""
        try:
            self.operator = self.entry.authenticator.authenticate_operator(
                self.request.headers
            )
        except AccessRefusedError as error:
            self.entry.logger.log(
                "access",
                f"operator refused: {error}",
                peer=self.request.remote_ip or "",
                path=self.request.path,
            )
            self.respond_error(403, str(error), Verdict.NOT_RUN)

    def respond(self, body: msgspec.Struct | list[msgspec.Struct]) -> None:
        """Send a JSON response."""
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(body))

    def respond_error(self, status: int, text: str, verdict: Verdict) -> None:
        """Send an error response."""
        self.set_status(status)
        self.respond(ErrorBody(text, verdict.value))

    def decode_body(self, kind: type[BodyT]) -> BodyT | None:
        """Decode the body; respond and return None if it is invalid."""
        try:
            return decode_json(self.request.body, kind)
        except DecodingError as error:
            self.respond_error(STATUS_BAD_REQUEST, str(error), Verdict.NOT_RUN)
            return None

    async def commit(self, record: Record) -> str | None:
        """Commit a record; respond and return None if that fails."""
        try:
            return await self.entry.commits.commit(
                record, time.monotonic(), COMMIT_TIMEOUT_S
            )
        except YuccapointError as error:
            status = STATUS_UNAVAILABLE
            if error.verdict is not Verdict.NOT_RUN:
                status = STATUS_OUTCOME_UNKNOWN
            self.respond_error(status, str(error), error.verdict)
            return None


class TablesHandler(OperatorHandler):
    """The tables of routes and pools."""

    def get(self) -> None:
        """Return the tables known to this entry."""
        self.respond(views.tables_view(self.entry))


class RowHandler(OperatorHandler):
    """One row of a table."""

    async def put(self, table: str, name: str) -> None:
        """Set or remove a row if its expected version matches."""
        body = self.decode_body(EditBody)
        if body is None:
            return
        record = self._make_record(table, name, body)
        if record is None:
            return
        refusal = await self._commit_edit(record)
        if refusal is None:
            return
        if refusal:
            self.set_status(STATUS_CONFLICT)
        self.respond(edit_answer(self.entry, record, refusal))

    async def _commit_edit(
        self, record: RouteEdited | PoolEdited
    ) -> str | None:
        tables = self.entry.cell.tables
        outcome = tables.outcomes.get(record.edit_id)
        if outcome is not None:
            return outcome.refusal
        refusal = tables.refusal_of(record)
        if refusal:
            return refusal
        return await self.commit(record)

    def _make_record(
        self, table: str, name: str, body: EditBody
    ) -> RouteEdited | PoolEdited | None:
        row = body.route if table == "routes" else body.pool
        if row is not None and row.name != name:
            text = (
                f"the row's name is {row.name!r}, but the path names {name!r}"
            )
            self.respond_error(STATUS_BAD_REQUEST, text, Verdict.NOT_RUN)
            return None
        if table == "routes":
            return RouteEdited(
                name,
                body.expected_version,
                body.edit_id,
                self.operator,
                body.route,
            )
        return PoolEdited(
            name,
            body.expected_version,
            body.edit_id,
            self.operator,
            body.pool,
        )


class EditHandler(OperatorHandler):
    """Status of an edit."""

    def get(self, edit_id: str) -> None:
        """Return the status of an edit."""
        self.respond(edit_status(self.entry, edit_id))


class JobsHandler(OperatorHandler):
    """All jobs."""

    def get(self) -> None:
        """List the jobs."""
        jobs = self.entry.cell.board.jobs.values()
        self.respond([views.job_view(entry) for entry in jobs])

    async def post(self) -> None:
        """Submit a job; idempotent for the same id."""
        job = self.decode_body(Job)
        if job is None:
            return
        fault = views.find_job_fault(self.entry, job)
        if fault:
            self.respond_error(STATUS_BAD_REQUEST, fault, Verdict.NOT_RUN)
            return
        if job.job_id not in self.entry.cell.board.jobs:
            decided = await self.commit(JobSubmitted(job))
            if decided is None:
                return
        self.respond(views.job_view(self.entry.cell.board.jobs[job.job_id]))


class JobHandler(OperatorHandler):
    """One job."""

    def get(self, job_id: str) -> None:
        """Explain a job's state."""
        entry = self.entry.cell.board.jobs.get(job_id)
        if entry is None:
            text = f"there is no job {job_id}"
            self.respond_error(STATUS_NOT_FOUND, text, Verdict.NOT_RUN)
            return
        decisions = [
            DecisionView(d.part, d.text, d.fields)
            for d in self.entry.decisions.find("job", job_id)
        ]
        why = views.explain_state(self.entry, entry)
        self.respond(Explanation(views.job_view(entry), why, decisions))

    async def delete(self, job_id: str) -> None:
        """Cancel a job."""
        refusal = await self.commit(JobCancelled(job_id))
        if refusal is None:
            return
        if refusal:
            self.respond_error(STATUS_CONFLICT, refusal, Verdict.NOT_RUN)
            return
        self.respond(views.job_view(self.entry.cell.board.jobs[job_id]))


class RequestIdHandler(OperatorHandler):
    """A request that this entry served recently."""

    def get(self, request_id: str) -> None:
        """Return the routing decisions of a request."""
        recorded = self.entry.decisions.find("request", request_id)
        if not recorded:
            text = f"this entry has no record of request {request_id}"
            self.respond_error(STATUS_NOT_FOUND, text, Verdict.NOT_RUN)
            return
        views = [DecisionView(d.part, d.text, d.fields) for d in recorded]
        self.respond(RequestExplanation(request_id, views))


class StatusHandler(OperatorHandler):
    """Status of the system as this entry knows it."""

    def get(self) -> None:
        """Return the status."""
        self.respond(views.status(self.entry))


class WatchHandler(OperatorHandler):
    """Live stream of decisions, one JSON line each."""

    async def get(self) -> None:
        """Stream decisions until the operator disconnects."""
        queue = self.entry.decisions.subscribe()
        self.set_header("Content-Type", "application/x-ndjson")
        try:
            await self.flush()
            while True:
                decision = await queue.get()
                view = DecisionView(
                    decision.part, decision.text, decision.fields
                )
                self.write(msgspec.json.encode(view) + b"\n")
                await self.flush()
        except StreamClosedError:
            return
        finally:
            self.entry.decisions.unsubscribe(queue)


class DrainHandler(OperatorHandler):
    """Drains of VMs."""

    def post(self, vm: str) -> None:
        """Request a drain from a VM's agent."""
        view = self.entry.leader.views.get(vm)
        if view is None:
            text = f"there is no VM {vm}"
            self.respond_error(STATUS_NOT_FOUND, text, Verdict.NOT_RUN)
            return
        self.entry.logger.log(
            "operator", f"{self.operator} requested a drain of {vm}"
        )
        self.entry.control_channel.send(
            view.address, DrainVm(vm, self.operator)
        )
        self.respond(DrainAnswer(vm))


class HealthHandler(RequestHandler):
    """Liveness and readiness probes."""

    def initialize(self, entry: EntryProcess) -> None:
        """Store the process that the handler serves."""
        self.entry = entry

    def get(self, kind: str) -> None:
        """Answer a probe of the load balancer."""
        if kind == "ready" and not self.entry.ready:
            self.set_status(STATUS_UNAVAILABLE)
            self.finish("not ready\n")
            return
        self.finish("ok\n")


class MetricsHandler(HealthHandler):
    """Exports the metrics in the exposition format."""

    def get(self, kind: str) -> None:
        """Return the metrics."""
        del kind
        entry = self.entry
        entry.metrics.set("in_flight", entry.in_flight)
        entry.metrics.set("tables_version", entry.cell.tables.version)
        entry.metrics.set("queued_jobs", len(entry.cell.board.queued))
        entry.metrics.set(
            "dropped_answers", entry.forwarder.unmatched_responses
        )
        rendered = entry.metrics.render()
        self.set_header("Content-Type", rendered.content_type)
        self.finish(rendered.body)


def operator_application(entry: EntryProcess) -> Application:
    """Build the application of the operators' port."""
    arguments = {"entry": entry}
    return Application(
        [
            (r"/(health|ready)", HealthHandler, arguments),
            (r"/(metrics)", MetricsHandler, arguments),
            (r"/v1/tables", TablesHandler, arguments),
            (r"/v1/tables/(routes|pools)/([^/]+)", RowHandler, arguments),
            (r"/v1/edits/([^/]+)", EditHandler, arguments),
            (r"/v1/jobs", JobsHandler, arguments),
            (r"/v1/jobs/([^/]+)", JobHandler, arguments),
            (r"/v1/requests/([^/]+)", RequestIdHandler, arguments),
            (r"/v1/status", StatusHandler, arguments),
            (r"/v1/vms/([^/]+)/drain", DrainHandler, arguments),
            (r"/v1/watch", WatchHandler, arguments),
        ],
        log_function=_suppress_access_log,
    )


def _suppress_access_log(handler: RequestHandler) -> None:
    del handler
