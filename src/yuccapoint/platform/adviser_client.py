"""Calls to the adviser, which knows the workers that may run a step."""

from __future__ import annotations

import msgspec

from yuccapoint.connection.http_client import HttpClient
from yuccapoint.exceptions import UnreachableError
from yuccapoint.platform.exceptions import DamagedMessageError

# Longest wait in seconds: the adviser takes some milliseconds for each
# worker and serves one question of a process at a time.
RESPONSE_TIMEOUT_S = 2.0
STATUS_OK = 200


class _Advice(msgspec.Struct):
    allowed: list[tuple[str, str]] = msgspec.field(
        name="Allowed", default_factory=list
    )


class AdviserClient:
    """Asks the adviser.

    Parameters
    ----------
    address : str
        IP number and port of the adviser.
    """

    def __init__(self, address: str) -> None:
        self._client = HttpClient(address)

    async def ask(self, step: str, worker_ids: list[str]) -> dict[str, str]:
        """Give tickets by the id of each worker that may run a step.

        Raises
        ------
        UnreachableError
            No response came, or the adviser is too busy.
        DamagedMessageError
            The response can't be read.
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
            raise UnreachableError(f"the adviser answered {response.status}")
        try:
            advice = msgspec.json.decode(response.body, type=_Advice)
        except msgspec.DecodeError as error:
            raise DamagedMessageError(f"advice: {error}") from None
        return dict(advice.allowed)
