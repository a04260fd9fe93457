"""Relay of callers' records through entries that reach the store."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from yuccapoint.cell import cell_records
from yuccapoint.cell.cell_messages import RelayAnswer
from yuccapoint.cell.cell_messages import RelayRequest
from yuccapoint.cell.cell_messages import RelayResult
from yuccapoint.cell.exceptions import DamagedRecordError
from yuccapoint.connection.cell_store import StoreRefusedError
from yuccapoint.connection.cell_store import StoreResponseLostError
from yuccapoint.process.peer_calls import PeerCalls

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccapoint.connection.control_channel import ControlChannel
    from yuccapoint.process.group_appender import GroupAppender
    from yuccapoint.process.process_logger import ProcessLogger

# A peer's append takes a few milliseconds, with a slow store half a second; a
# peer that needs longer than this time, in seconds, hangs or is down.
PEER_ANSWER_TIMEOUT_S = 1.2
# Timeout of a peer's own append in seconds, below the answer timeout, so that
# its answer still arrives in time.
PEER_APPEND_TIMEOUT_S = 1.1
# Limit of entries that are tried for one record.
MAX_PEERS_TRIED = 2
# Only records of callers are relayed; appending them twice is harmless.
RELAYED_KEY_PREFIXES = (cell_records.SUBMISSION, cell_records.CANCELLATION)


class AppendRelay:
    """Forwards appends to peers, and appends records for peers.

    Bypasses a store that refuses some entries and serves the others.

    Parameters
    ----------
    appender : GroupAppender
        Appends peers' records to the store.
    control_channel : ControlChannel
        Carries requests and answers.
    list_peers : callable
        Returns the addresses of other entries in order of preference.
    has_leader_peer : callable
        Returns whether the first of them leads.
    logger : ProcessLogger
        Receives the log lines.
    """

    def __init__(
        self,
        appender: GroupAppender,
        control_channel: ControlChannel,
        list_peers: Callable[[], list[str]],
        has_leader_peer: Callable[[], bool],
        logger: ProcessLogger,
    ) -> None:
        self._appender = appender
        self._control_channel = control_channel
        self._list_peers = list_peers
        self._has_leader_peer = has_leader_peer
        self._logger = logger
        self._calls: PeerCalls[RelayResult] = PeerCalls(control_channel)
        self._serving_tasks: set[asyncio.Task[None]] = set()

    @property
    def reaches_leader(self) -> bool:
        """Whether the first peer that is asked leads the cell."""
        return self._has_leader_peer()

    async def append(
        self, key: str, value: bytes, timeout_s: float
    ) -> RelayResult:
        """Append a record through a peer; the record must be idempotent.

        Returns
        -------
        RelayResult
            ``APPENDED``, ``REFUSED`` if each peer that was tried refused,
            else ``UNKNOWN``.
        """
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        outcome = RelayResult.REFUSED
        for address in self._list_peers()[:MAX_PEERS_TRIED]:
            left_s = min(PEER_ANSWER_TIMEOUT_S, deadline_s - loop.time())
            if left_s <= 0:
                break
            result = await self._request_append(address, key, value, left_s)
            self._logger.log(
                "store",
                "append relayed to a peer",
                key=key,
                peer=address,
                result=result.value,
            )
            if result is RelayResult.APPENDED:
                return result
            if result is RelayResult.UNKNOWN:
                outcome = result
        return outcome

    async def _request_append(
        self, address: str, key: str, value: bytes, timeout_s: float
    ) -> RelayResult:
        result = await self._calls.call(
            address,
            lambda number: RelayRequest(
                self._control_channel.address, number, key, value
            ),
            timeout_s,
        )
        return RelayResult.UNKNOWN if result is None else result

    def on_answer(self, answer: RelayAnswer) -> None:
        """Resolve the request of a peer's answer; ignore a late one."""
        self._calls.on_answer(answer.number, answer.result)

    def on_request(self, request: RelayRequest) -> None:
        """Append a record for a peer."""
        task = asyncio.ensure_future(self._serve(request))
        self._serving_tasks.add(task)
        task.add_done_callback(self._serving_tasks.discard)

    async def _serve(self, request: RelayRequest) -> None:
        result = RelayResult.REFUSED
        try:
            cell_records.decode(request.key, request.value)
            if request.key.startswith(RELAYED_KEY_PREFIXES):
                await self._appender.append(
                    request.key, request.value, PEER_APPEND_TIMEOUT_S
                )
                result = RelayResult.APPENDED
        except StoreResponseLostError as error:
            result = RelayResult.UNKNOWN
            self._log_rejection(request, str(error))
        except (StoreRefusedError, DamagedRecordError) as error:
            self._log_rejection(request, str(error))
        answer = RelayAnswer(request.number, result)
        self._control_channel.send(request.address, answer)

    def _log_rejection(self, request: RelayRequest, why: str) -> None:
        self._logger.log(
            "store",
            "append for a peer failed",
            key=request.key,
            peer=request.address,
            why=why,
        )
