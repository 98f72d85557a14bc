"""Client of the administration API."""

import json

import trio
from returns.result import Failure, Result, Success

from persimmonhall.address import Address
from persimmonhall.errors import (
    PROBLEM_TYPE_PREFIX,
    ErrorKind,
    Ran,
    Refusal,
    refuse,
)
from persimmonhall.http.httpcore_client import HttpcoreClient
from persimmonhall.http.messages import HttpAnswer, HttpRequest
from persimmonhall.ids import ServiceName

MAX_ANSWER_BYTES = 64 * 1024 * 1024
REQUEST_TIMEOUT_S = 5.0
FAILOVER_ERRORS = frozenset(
    {
        ErrorKind.CONNECT_FAILED,
        ErrorKind.CONNECTION_LOST,
        ErrorKind.NO_QUORUM,
        ErrorKind.NOT_LEADER,
    }
)


class AdminClient:
    """Try the control VMs in turn, starting with the last one that answered."""

    def __init__(self, addresses: tuple[Address, ...], token: str):
        self._addresses = list(addresses)
        self._token = token

    async def get(self, path: str) -> Result[object, Refusal]:
        """Return the JSON body of a path from the first control VM that answers."""
        return await self._send(HttpRequest("GET", path, self._headers()))

    async def get_each(
        self, path: str
    ) -> tuple[tuple[Address, Result[object, Refusal]], ...]:
        """Return the JSON body of a path from every control VM."""
        clients = [(a, AdminClient((a,), self._token)) for a in self._addresses]
        results: dict[Address, Result[object, Refusal]] = {}

        async def get(address: Address, client: AdminClient) -> None:
            results[address] = await client.get(path)

        async with trio.open_nursery() as nursery:
            for address, client in clients:
                nursery.start_soon(get, address, client)
        return tuple((address, results[address]) for address, _ in clients)

    async def delete(self, path: str) -> Result[object, Refusal]:
        """Delete the resource at a path."""
        return await self._send(HttpRequest("DELETE", path, self._headers()))

    async def put_document(
        self, service: ServiceName, text: str, revision: int, change_id: str
    ) -> Result[object, Refusal]:
        """Replace a document; the change id makes a retry on the next VM safe."""
        headers = (*self._headers(), (b"persimmonhall-change", change_id.encode()))
        target = f"/documents/{service}?revision={revision}"
        return await self._send(HttpRequest("PUT", target, headers, text.encode()))

    async def put_release(self, text: bytes) -> Result[object, Refusal]:
        """Put a release; a retry with the same text is safe."""
        return await self._send(HttpRequest("PUT", "/release", self._headers(), text))

    def _headers(self) -> tuple[tuple[bytes, bytes], ...]:
        return ((b"authorization", f"Bearer {self._token}".encode()),)

    async def _send(self, request: HttpRequest) -> Result[object, Refusal]:
        client = HttpcoreClient(max_connections=1)
        try:
            return await self._send_with_failover(client, request)
        finally:
            await client.aclose()

    async def _send_with_failover(
        self, client: HttpcoreClient, request: HttpRequest
    ) -> Result[object, Refusal]:
        failure = refuse(ErrorKind.NO_QUORUM, "no control VM is configured")
        ran = Ran.NO
        for address in tuple(self._addresses):
            result = await self._send_to(client, address, request)
            if not _should_fail_over(result):
                self._move_to_front(address)
                return result
            failure = result.failure()
            ran = failure.ran if ran is Ran.NO else ran
        detail = f"no control VM answered: {failure.detail}"
        return Failure(refuse(ErrorKind.NO_QUORUM, detail, ran=ran))

    async def _send_to(
        self, client: HttpcoreClient, address: Address, request: HttpRequest
    ) -> Result[object, Refusal]:
        with trio.move_on_after(REQUEST_TIMEOUT_S):
            match await client.send(address, request, MAX_ANSWER_BYTES):
                case Success(answer):
                    return _decode_answer(answer)
                case failure:
                    return failure
        detail = f"the request to {address} timed out"
        return Failure(refuse(ErrorKind.NO_QUORUM, detail, ran=Ran.UNKNOWN))

    def _move_to_front(self, address: Address) -> None:
        self._addresses.remove(address)
        self._addresses.insert(0, address)


def _should_fail_over(result: Result[object, Refusal]) -> bool:
    match result:
        case Failure(refusal):
            return refusal.kind in FAILOVER_ERRORS
    return False


def _decode_answer(answer: HttpAnswer) -> Result[object, Refusal]:
    try:
        body = json.loads(answer.body)
    except ValueError:
        detail = f"answer with status {answer.status} has no JSON body"
        return Failure(refuse(ErrorKind.INTERNAL, detail))
    if answer.status < 400:
        return Success(body)
    kind = ErrorKind(body["type"].removeprefix(PROBLEM_TYPE_PREFIX))
    return Failure(refuse(kind, body["detail"], ran=Ran(body["ran"])))
