"""Accept connections, and at shutdown those still in the listen backlog."""

import errno
import os
import socket
from collections.abc import Callable

import trio
from absl import logging

ACCEPT_RETRY_DELAY_S = 0.1


async def accept_connections(
    listener: trio.SocketListener, on_connection: Callable[[trio.SocketStream], None]
) -> None:
    """Pass each accepted connection to a callback until cancelled."""
    while True:
        try:
            stream = await listener.accept()
        except OSError as error:
            if error.errno not in {errno.EMFILE, errno.ENFILE}:
                raise
            logging.warning("accept failed: %s", error)
            await trio.sleep(ACCEPT_RETRY_DELAY_S)
            continue
        on_connection(stream)


def accept_backlog(listener: trio.SocketListener) -> list[trio.SocketStream]:
    """Accept the backlog and close the listener without a checkpoint in between."""
    streams = []
    with socket.socket(fileno=os.dup(listener.socket.fileno())) as duplicate:
        duplicate.setblocking(False)
        while (accepted := _accept_nowait(duplicate)) is not None:
            trio_socket = trio.socket.from_stdlib_socket(accepted)
            streams.append(trio.SocketStream(trio_socket))
    listener.socket.close()
    return streams


def _accept_nowait(listener: socket.socket) -> socket.socket | None:
    try:
        accepted, _ = listener.accept()
    except OSError:
        return None
    return accepted
