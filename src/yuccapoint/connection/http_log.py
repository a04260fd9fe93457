"""HTTP client of the log service; docs/PLATFORM.md describes its API."""

from __future__ import annotations

import msgspec
from tornado.httpclient import AsyncHTTPClient
from tornado.httpclient import HTTPClientError
from tornado.httpclient import HTTPRequest

from yuccapoint.connection.log_port import LogPage
from yuccapoint.connection.log_port import LogRecordsExpiredError
from yuccapoint.connection.log_port import LogResponseLostError
from yuccapoint.connection.log_port import LogUnavailableError
from yuccapoint.decoding import decode
from yuccapoint.decoding import parse_number
from yuccapoint.exceptions import DecodingError

READ_WAIT_S = 1.0
STATUS_EXPIRED = 410
STATUSES_UNAVAILABLE = (429, 503)


class HttpLog:
    """Reads and appends one stream.

    Parameters
    ----------
    address : str
        IP number and port of the log service.
    stream : str
        Name of the stream.
    timeout_s : float
        Timeout for a response, in seconds.
    """

    def __init__(self, address: str, stream: str, timeout_s: float) -> None:
        self._url = f"http://{address}/v1/streams/{stream}/records"
        self._timeout_s = timeout_s
        self._client = AsyncHTTPClient(force_instance=True)
        self._page_decoder = msgspec.msgpack.Decoder(LogPage)

    async def append(self, data: bytes) -> int:
        """Append bytes; see ``LogPort.append``."""
        request = HTTPRequest(
            self._url,
            method="POST",
            body=data,
            connect_timeout=self._timeout_s,
            request_timeout=self._timeout_s,
        )
        try:
            response = await self._client.fetch(request)
            return int(response.body)
        except HTTPClientError as error:
            if error.code in STATUSES_UNAVAILABLE:
                raise LogUnavailableError(
                    f"log service refused the append: {error}"
                ) from None
            raise LogResponseLostError(
                f"no valid response to the append: {error}"
            ) from None
        except ConnectionRefusedError as error:
            raise LogUnavailableError(
                f"can't connect to the log service: {error}"
            ) from None
        except (OSError, ValueError) as error:
            raise LogResponseLostError(
                f"no valid response to the append: {error}"
            ) from None

    async def read(self, from_offset: int) -> LogPage:
        """Read from an offset on; see ``LogPort.read``."""
        url = f"{self._url}?from={from_offset}&wait_s={READ_WAIT_S}"
        request = HTTPRequest(
            url,
            connect_timeout=self._timeout_s,
            request_timeout=self._timeout_s + READ_WAIT_S,
        )
        try:
            response = await self._client.fetch(request)
            return decode(self._page_decoder, response.body)
        except HTTPClientError as error:
            if error.code == STATUS_EXPIRED and error.response is not None:
                body = error.response.body.strip().decode("ascii", "replace")
                earliest = parse_number(body)
                if earliest is not None:
                    raise LogRecordsExpiredError(earliest) from None
            raise LogUnavailableError(f"can't read the log: {error}") from None
        except (DecodingError, OSError, ValueError) as error:
            raise LogUnavailableError(f"can't read the log: {error}") from None

    def close(self) -> None:
        """Close the connections."""
        self._client.close()
