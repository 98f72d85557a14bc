"""Open and accept connections through poller callbacks instead of trio tasks."""

import errno
import select
import socket as sockets
from collections.abc import Callable

from absl import logging

from persimmonhall.address import Address
from persimmonhall.timers import Timer, Timers
from persimmonhall.wire.poller import Poller

# Connections accepted before events of other connections are handled.
MAX_ACCEPTS_PER_EVENT = 64
# Exceeds the listen backlog, which the kernel caps at 4096.
MAX_BACKLOG_ACCEPTS = 5000
ACCEPT_RETRY_DELAY_S = 0.1
DESCRIPTOR_LIMIT_ERRNOS = frozenset({errno.EMFILE, errno.ENFILE})

SocketCallback = Callable[[sockets.socket], None]
ErrorCallback = Callable[[OSError], None]


class PendingConnection:
    """Open one connection; call exactly one of the two callbacks, once."""

    def __init__(
        self,
        address: Address,
        poller: Poller,
        on_open: SocketCallback,
        on_error: ErrorCallback,
    ):
        self._poller = poller
        self._on_open = on_open
        self._on_error = on_error
        self._timer: Timer | None = None
        self._socket = sockets.socket()
        self._socket.setblocking(False)
        self._is_finished = False
        error_number = self._socket.connect_ex((address.host, address.port))
        # An immediate error is reported later: the caller has no reference to this yet.
        self._connect_error_number = (
            0 if error_number == errno.EINPROGRESS else error_number
        )
        poller.add(self._socket.fileno(), select.EPOLLOUT, self._on_ready)

    def set_deadline(self, timers: Timers, deadline: float) -> None:
        """Fail with ETIMEDOUT if the connection is not open by the deadline."""
        self._timer = timers.call_at(deadline, self._time_out)

    def cancel(self) -> None:
        """Cancel the attempt without calling a callback."""
        if not self._is_finished:
            self._finish()
            self._socket.close()

    def _on_ready(self, events: int) -> None:
        option = self._socket.getsockopt(sockets.SOL_SOCKET, sockets.SO_ERROR)
        error_number = self._connect_error_number or option
        if error_number:
            self._fail(error_number)
        else:
            on_open = self._on_open
            self._finish()
            on_open(self._socket)

    def _time_out(self) -> None:
        if not self._is_finished:
            self._fail(errno.ETIMEDOUT)

    def _finish(self) -> None:
        self._is_finished = True
        self._poller.remove(self._socket.fileno())
        if self._timer is not None:
            self._timer.cancel()
        # The owner of the callbacks may hold this object, too.
        del self._on_open, self._on_error

    def _fail(self, error_number: int) -> None:
        on_error = self._on_error
        self._finish()
        self._socket.close()
        on_error(
            OSError(error_number, errno.errorcode.get(error_number, str(error_number)))
        )


class SocketListener:
    """Accept the connections of one listening socket."""

    def __init__(
        self,
        socket: sockets.socket,
        poller: Poller,
        timers: Timers,
        on_accept: SocketCallback,
    ):
        self._socket = socket
        self._poller = poller
        self._timers = timers
        self._on_accept = on_accept
        self._is_closed = False
        poller.add(socket.fileno(), select.EPOLLIN, self._accept)

    def close(self) -> None:
        """Accept the connections in the backlog, then stop."""
        if not self._is_closed:
            # Closing the socket would reset them, with requests already in them.
            for _ in range(MAX_BACKLOG_ACCEPTS):
                if not self._accept_one():
                    break
            self._is_closed = True
            self._poller.remove(self._socket.fileno())
            self._socket.close()

    def _accept(self, events: int) -> None:
        for _ in range(MAX_ACCEPTS_PER_EVENT):
            if not self._accept_one():
                return

    def _accept_one(self) -> bool:
        """Accept one connection; return whether there may be another."""
        try:
            accepted, _ = self._socket.accept()
        except BlockingIOError:
            return False
        except OSError as error:
            self._pause(error)
            return False
        accepted.setblocking(False)
        try:
            self._on_accept(accepted)
        except Exception:
            # An error in one connection must not stop the listener.
            logging.exception("accepted connection not served")
            accepted.close()
        return True

    def _pause(self, error: OSError) -> None:
        """Pause if no descriptors are left; other errors affect one connection only."""
        logging.warning("accept failed: %s", error)
        if error.errno not in DESCRIPTOR_LIMIT_ERRNOS:
            return
        fd = self._socket.fileno()
        self._poller.modify(fd, 0)
        resume_at = self._timers.now() + ACCEPT_RETRY_DELAY_S
        self._timers.call_at(resume_at, self._resume)

    def _resume(self) -> None:
        if not self._is_closed:
            self._poller.modify(self._socket.fileno(), select.EPOLLIN)
