"""Send operator requests to a node's loopback API."""

import json

from returns.result import Failure, Result, Success

from persimmonhall.address import Address
from persimmonhall.errors import ErrorKind, Refusal, refuse
from persimmonhall.http.client import PooledClient
from persimmonhall.http.messages import HttpRequest

MAX_ANSWER_BYTES = 16 * 1024 * 1024


async def drain(node: Address) -> Result[object, Refusal]:
    """Start the graceful shutdown of a node."""
    return await _send(node, "POST", "/-/drain")


async def document_status(node: Address) -> Result[object, Refusal]:
    """Return on how many nodes each revision is active."""
    return await _send(node, "GET", "/-/documents")


async def organisations_status(node: Address) -> Result[object, Refusal]:
    """Return the organisations that a node knows, with their rates."""
    return await _send(node, "GET", "/-/organisations")


async def _send(node: Address, method: str, target: str) -> Result[object, Refusal]:
    client = PooledClient(1)
    answer = await client.send(node, HttpRequest(method, target, ()), MAX_ANSWER_BYTES)
    await client.aclose()
    return answer.bind(_decode_answer)


def _decode_answer(answer) -> Result[object, Refusal]:
    body = json.loads(answer.body) if answer.body else {}
    if answer.status < 400:
        return Success(body)
    detail = body.get("detail", f"status {answer.status}")
    return Failure(refuse(ErrorKind.INTERNAL, detail))
