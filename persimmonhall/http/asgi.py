"""Serve a handler through hypercorn."""

from functools import partial

import hypercorn.trio
import trio
from hypercorn.config import Config

from persimmonhall.address import Address, parse_address
from persimmonhall.http.messages import HttpAnswer, HttpHandler, HttpRequest

MAX_REQUESTS_PER_CONNECTION = 1_000_000_000
MAX_BODY_BYTES = 32 * 1024 * 1024
GRACEFUL_TIMEOUT_S = 3.0


class BodyTooLargeError(Exception):
    """Signal a request body over the size limit."""


async def _read_body(receive, max_body_bytes: int) -> bytes | None:
    parts = []
    size = 0
    while True:
        event = await receive()
        if event["type"] == "http.disconnect":
            return None
        size += len(event.get("body", b""))
        if size > max_body_bytes:
            raise BodyTooLargeError
        parts.append(event.get("body", b""))
        if not event.get("more_body", False):
            return b"".join(parts)


async def _send_answer(send, answer: HttpAnswer) -> None:
    headers = [(k, v) for k, v in answer.headers if k != b"content-length"]
    headers.append((b"content-length", str(len(answer.body)).encode()))
    await send(
        {"type": "http.response.start", "status": answer.status, "headers": headers}
    )
    await send({"type": "http.response.body", "body": answer.body})


async def _lifespan(receive, send) -> None:
    while True:
        event = await receive()
        await send({"type": event["type"] + ".complete"})
        if event["type"] == "lifespan.shutdown":
            return


def make_asgi_app(handler: HttpHandler, max_body_bytes: int = MAX_BODY_BYTES):
    """Wrap a handler as an ASGI application."""

    async def app(scope, receive, send) -> None:
        if scope["type"] == "lifespan":
            await _lifespan(receive, send)
            return
        if scope["type"] != "http":
            return
        try:
            body = await _read_body(receive, max_body_bytes)
        except BodyTooLargeError:
            await _send_answer(send, HttpAnswer(413, (), b""))
            return
        if body is None:
            return
        query = scope["query_string"]
        target = scope["raw_path"].decode("latin-1")
        if query:
            target += "?" + query.decode("latin-1")
        headers = tuple((bytes(k), bytes(v)) for k, v in scope["headers"])
        request = HttpRequest(scope["method"], target, headers, body)

        async def cancel_on_disconnect(cancel_scope: trio.CancelScope) -> None:
            while (await receive())["type"] != "http.disconnect":
                pass
            cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(cancel_on_disconnect, nursery.cancel_scope)
            answer = await handler(request)
            await _send_answer(send, answer)
            nursery.cancel_scope.cancel()

    return app


async def serve_asgi(
    handler: HttpHandler,
    address: Address,
    stop: trio.Event,
    *,
    max_body_bytes: int = MAX_BODY_BYTES,
    task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve a handler on an address until the stop event is set."""
    config = Config()
    config.bind = [str(address)]
    config.keep_alive_max_requests = MAX_REQUESTS_PER_CONNECTION
    config.graceful_timeout = GRACEFUL_TIMEOUT_S
    config.errorlog = None
    config.accesslog = None
    serve = partial(
        hypercorn.trio.serve,
        make_asgi_app(handler, max_body_bytes),
        config,
        shutdown_trigger=stop.wait,
    )
    async with trio.open_nursery() as nursery:
        binds = await nursery.start(serve)
        task_status.started(parse_address(binds[0].removeprefix("http://")).unwrap())
