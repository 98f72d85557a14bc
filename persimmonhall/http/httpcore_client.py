"""Send requests to the administration API through httpcore."""

import httpcore
from returns.result import Failure, Result, Success

from persimmonhall.address import Address
from persimmonhall.errors import ErrorKind, Ran, Refusal, refuse
from persimmonhall.http.messages import HttpAnswer, HttpRequest, end_to_end_headers

CONNECT_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 3600.0  # in effect none; callers limit the entire request


class HttpcoreClient:
    """Pool connections to any address and send one request at a time on each."""

    def __init__(self, max_connections: int):
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=max_connections, keepalive_expiry=30.0
        )

    async def send(
        self, address: Address, request: HttpRequest, max_answer_bytes: int
    ) -> Result[HttpAnswer, Refusal]:
        """Send a request and return its complete answer."""
        headers = list(request.headers)
        if not any(name == b"host" for name, _ in headers):
            headers.append((b"host", str(address).encode()))
        try:
            return await self._send(address, request, headers, max_answer_bytes)
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            return Failure(
                refuse(ErrorKind.CONNECT_FAILED, f"{address}: {error or 'timeout'}")
            )
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            return Failure(
                refuse(
                    ErrorKind.CONNECTION_LOST,
                    f"{address}: {error or type(error).__name__}",
                    ran=Ran.UNKNOWN,
                )
            )

    async def _send(
        self,
        address: Address,
        request: HttpRequest,
        headers: list,
        max_answer_bytes: int,
    ) -> Result[HttpAnswer, Refusal]:
        url = httpcore.URL(
            scheme=b"http",
            host=address.host.encode(),
            port=address.port,
            target=request.target.encode("latin-1"),
        )
        timeout = {"connect": CONNECT_TIMEOUT_S, "read": READ_TIMEOUT_S}
        async with self._pool.stream(
            request.method,
            url,
            headers=headers,
            content=request.body,
            extensions={"timeout": timeout},
        ) as response:
            parts: list[bytes] = []
            size = 0
            async for part in response.aiter_stream():
                size += len(part)
                if size > max_answer_bytes:
                    detail = f"the answer is over {max_answer_bytes} bytes"
                    return Failure(refuse(ErrorKind.ANSWER_TOO_LARGE, detail))
                parts.append(part)
            headers = tuple((name.lower(), value) for name, value in response.headers)
            return Success(
                HttpAnswer(
                    response.status, end_to_end_headers(headers), b"".join(parts)
                )
            )

    async def aclose(self) -> None:
        """Close every connection."""
        await self._pool.aclose()
