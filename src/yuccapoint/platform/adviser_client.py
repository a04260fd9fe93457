"""Client of the adviser, which decides which workers may run a step."""

from __future__ import annotations

import msgspec

from yuccapoint.connection.http_client import HttpClient
from yuccapoint.decoding import decode_json
from yuccapoint.exceptions import DecodingError
from yuccapoint.exceptions import UnreachableError
from yuccapoint.platform.exceptions import MalformedMessageError

# The adviser needs a few milliseconds per worker and serves one request of a
# process at a time.
RESPONSE_TIMEOUT_S = 2.0
STATUS_OK = 200


class _Advice(msgspec.Struct):
    allowed: list[tuple[str, str]] = msgspec.field(
        name="Allowed", default_factory=list
    )


class AdviserClient:
    """Requests permissions from the adviser.

    Parameters
    ----------
    address : str
        IP number and port of the adviser.
    """

    def __init__(self, address: str) -> None:
        self._client = HttpClient(address)

    def move(self, address: str) -> None:
        """Send later queries to another address.

        Raises
        ------
        ValueError
            The address has no port; the former one is kept.
        """
        self._client.move(address)

    async def ask(self, step: str, worker_ids: list[str]) -> dict[str, str]:
        """Return a ticket for each worker that may run a step, by worker id.

        Raises
        ------
        UnreachableError
            The adviser did not respond or answered with an error status.
        MalformedMessageError
            The response body can't be decoded.
        """
        body = msgspec.json.encode({"Step": step, "Workers": worker_ids})
        response = await self._client.call(
            "POST",
            "/yuccapoint/advise",
            body,
            timeout_s=RESPONSE_TIMEOUT_S,
            headers={"Content-Type": "application/json"},
        )
        if response.status != STATUS_OK:
            raise UnreachableError(
                f"adviser responded with status {response.status}"
            )
        try:
            advice = decode_json(response.body, _Advice)
        except DecodingError as error:
            raise MalformedMessageError(
                f"adviser response is invalid: {error}"
            ) from None
        return dict(advice.allowed)
