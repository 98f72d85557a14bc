"""Serve a handler over HTTP/1.1 on trio."""

from functools import partial

import trio

from persimmonhall.address import Address
from persimmonhall.http.accepting import accept_backlog, accept_connections
from persimmonhall.http.hangup import HangupWatch
from persimmonhall.http.messages import HttpHandler
from persimmonhall.http.server_connection import (
    RefusalWriter,
    ServerConnection,
    ServerLimits,
)
from persimmonhall.wire.direct_stream import DirectStream

LISTEN_BACKLOG = 1024


async def serve_http(
    handler: HttpHandler,
    address: Address,
    stop: trio.Event,
    *,
    write_refusal: RefusalWriter,
    limits: ServerLimits = ServerLimits(),
    draining: trio.Event | None = None,
    task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve a handler until stop is set and the requests in flight have ended."""
    # Once draining is set, answers carry "connection: close".
    [listener] = await trio.open_tcp_listeners(
        address.port, host=address.host, backlog=LISTEN_BACKLOG
    )
    connections: set[ServerConnection] = set()
    hangup_watch = HangupWatch()
    connect = partial(
        ServerConnection,
        handler=handler,
        write_refusal=write_refusal,
        limits=limits,
        stop=stop,
        draining=stop if draining is None else draining,
    )

    async def serve(stream: DirectStream) -> None:
        connection = connect(stream)
        connections.add(connection)
        hangup_watch.add(stream.fd, connection.handle_hangup)
        try:
            await connection.run(partial(hangup_watch.remove, stream.fd))
        finally:
            connections.discard(connection)

    try:
        async with trio.open_nursery() as watching:
            watching.start_soon(hangup_watch.run)
            async with trio.open_nursery() as nursery:

                def start_connection(stream: trio.SocketStream) -> None:
                    nursery.start_soon(serve, DirectStream(stream))

                async with trio.open_nursery() as accepting:
                    accepting.start_soon(accept_connections, listener, start_connection)
                    task_status.started(Address(*listener.socket.getsockname()[:2]))
                    await stop.wait()
                    accepting.cancel_scope.cancel()
                for stream in accept_backlog(listener):
                    start_connection(stream)
                for connection in tuple(connections):
                    connection.stop_if_idle()
            watching.cancel_scope.cancel()
    finally:
        hangup_watch.close()
