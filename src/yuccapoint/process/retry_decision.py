"""Decision whether a failed request is sent again."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.request.verdict import Verdict

if TYPE_CHECKING:
    from yuccapoint.process.process_logger import ProcessLogger
    from yuccapoint.request.exceptions import RequestError
    from yuccapoint.request.service_request import ServiceRequest

# A request may be the cause when endpoints fail while they run it. It is sent
# to no more of them after this many, however large the retry budget is.
MAX_FAILED_RUNS = 3


def may_retry(
    request: ServiceRequest, error: RequestError, logger: ProcessLogger
) -> bool:
    """Return whether a request may be sent to another endpoint.

    Parameters
    ----------
    request : ServiceRequest
        The request, with the number of its failed runs.
    error : RequestError
        Failure of the last attempt.
    logger : ProcessLogger
        Logs requests that are given up for the endpoints' sake.
    """
    if not error.verdict.allows_retry(idempotent=request.idempotent):
        return False
    if error.verdict is Verdict.NOT_RUN:
        return True
    if request.failed_runs < MAX_FAILED_RUNS:
        return True
    logger.log(
        "route",
        "not retried, as endpoints failed while they ran the request",
        request=request.request_id,
        failed_runs=request.failed_runs,
    )
    return False
