"""HTTP server that receives the check-ins of the worker on the agent's VM."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tornado.httpserver import HTTPServer

from yuccapoint.platform.check_in_body import decode_check_in
from yuccapoint.platform.exceptions import MalformedMessageError
from yuccapoint.platform.http_response import send_response

if TYPE_CHECKING:
    from collections.abc import Callable

    from tornado.httputil import HTTPServerRequest

    from yuccapoint.cell.worker_events import CheckIn

CHECK_IN_PATH = "/yuccapoint/instances/"


class CheckInServer:
    """Receives the worker's check-ins over HTTP.

    Parameters
    ----------
    vm : str
        Name of this VM.
    on_check_in, on_leave : callable
        Called with each check-in, and with the id of a worker that
        deregisters.
    on_rejected : callable
        Called with the reason why a check-in was rejected.
    """

    def __init__(
        self,
        vm: str,
        on_check_in: Callable[[CheckIn], None],
        on_leave: Callable[[str], None],
        on_rejected: Callable[[str], None],
    ) -> None:
        self._vm = vm
        self._on_check_in = on_check_in
        self._on_leave = on_leave
        self._on_rejected = on_rejected
        self._server = HTTPServer(self._serve)

    def listen(self, address: str) -> None:
        """Listen on an address."""
        host, _, port = address.rpartition(":")
        self._server.listen(int(port), host)

    def stop(self) -> None:
        """Stop listening."""
        self._server.stop()

    def _serve(self, request: HTTPServerRequest) -> None:
        status = 404
        worker_id = request.path.removeprefix(CHECK_IN_PATH)
        if request.path.startswith(CHECK_IN_PATH) and worker_id:
            try:
                status = self._handle(request, worker_id)
            except Exception as error:  # noqa: BLE001
                # Without a response the worker would wait for its timeout.
                self._on_rejected(f"check-in can't be applied: {error!r}")
                status = 500
        if not send_response(request, status):
            self._on_rejected(
                "worker closed the connection before the check-in response"
            )

    def _handle(self, request: HTTPServerRequest, worker_id: str) -> int:
        if request.method == "DELETE":
            self._on_leave(worker_id)
            return 200
        if request.method != "PUT":
            return 405
        try:
            check_in = decode_check_in(self._vm, worker_id, request.body)
        except MalformedMessageError as error:
            self._on_rejected(str(error))
            return 400
        self._on_check_in(check_in)
        return 200
