"""Accept connections, and at the end all that the kernel holds."""

import errno
import os
import socket
from collections.abc import Callable

import trio
from absl import logging

FULL_PAUSE_S = 0.1


async def accept_each(
    listener: trio.SocketListener, take: Callable[[trio.SocketStream], None]
) -> None:
    """Hand over each connection until cancelled."""
    while True:
        try:
            stream = await listener.accept()
        except OSError as error:
            if error.errno not in {errno.EMFILE, errno.ENFILE}:
                raise
            logging.warning("accept failed: %s", error)
            await trio.sleep(FULL_PAUSE_S)
            continue
        take(stream)


def accept_rest(listener: trio.SocketListener) -> list[trio.SocketStream]:
    """Accept what waits and close the listener before another task runs."""
    streams = []
    with socket.socket(fileno=os.dup(listener.socket.fileno())) as rest:
        rest.setblocking(False)
        while (accepted := _accept_now(rest)) is not None:
            trio_socket = trio.socket.from_stdlib_socket(accepted)
            streams.append(trio.SocketStream(trio_socket))
    listener.socket.close()
    return streams


def _accept_now(listener: socket.socket) -> socket.socket | None:
    try:
        accepted, _ = listener.accept()
    except OSError:
        return None
    return accepted
