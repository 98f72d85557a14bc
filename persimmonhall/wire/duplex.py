"""Read and write one connection through callbacks."""

import os
import select
import socket as sockets
import struct
from collections import deque
from collections.abc import Callable

from absl import logging

from persimmonhall.wire.poller import Poller

RECEIVE_BYTES = 64 * 1024
# Joining small messages saves system calls; large ones are not copied.
MAX_JOINED_BYTES = 64 * 1024
READ_EVENTS = select.EPOLLIN | select.EPOLLRDHUP
WRITE_EVENTS = select.EPOLLOUT
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
CLOSED_BY_PEER = "closed by the peer"

DataCallback = Callable[[bytes], None]
EndCallback = Callable[[str], None]


class Duplex:
    """Pass received data to a callback; write without waiting and buffer the rest."""

    def __init__(
        self,
        socket: sockets.socket,
        poller: Poller,
        on_data: DataCallback,
        on_end: EndCallback,
        *,
        should_discard_at_end: bool = False,
        on_drained: Callable[[], None] | None = None,
    ):
        self._socket = socket
        self._fd = socket.fileno()
        self._poller = poller
        self._on_data = on_data
        self._on_end = on_end
        self._on_drained = on_drained
        # Views of what was to be sent, as a copy of a large message would take as much
        # memory again.
        self._unsent: deque[memoryview] = deque()
        self._unsent_bytes = 0
        self._sent_bytes = 0
        # The kernel reports an error once: a read after it looks like an orderly end.
        self._error: OSError | None = None
        # Data of a peer that has already closed its side need not be handled.
        self._should_discard_at_end = should_discard_at_end
        self._is_paused = False
        self._is_closed = False
        poller.add(self._fd, READ_EVENTS, self._on_ready)

    @property
    def unsent_bytes(self) -> int:
        """Return how many bytes are buffered until the peer reads."""
        return self._unsent_bytes

    @property
    def sent_bytes(self) -> int:
        """Return how many bytes the kernel has taken since the connection opened."""
        return self._sent_bytes

    @property
    def is_closed(self) -> bool:
        """Return whether this side has closed the connection."""
        return self._is_closed

    @property
    def is_readable(self) -> bool:
        """Return whether data or the end of the stream can be read."""
        poll = select.poll()
        poll.register(self._fd, select.POLLIN)
        return bool(poll.poll(0))

    @property
    def has_unread_bytes(self) -> bool:
        """Return whether bytes have arrived that were not read; not at the end."""
        try:
            return bool(self._socket.recv(1, sockets.MSG_PEEK))
        except BlockingIOError:
            return False
        except OSError as error:
            self._keep_error(error)
            return False

    def send(self, data: bytes) -> None:
        """Send bytes in call order; the next read reports an error and closes."""
        if self._is_closed or self._error is not None:
            return
        is_first = not self._unsent
        written = self._write(data) if is_first else 0
        if written < len(data):
            self._unsent.append(memoryview(data)[written:])
            self._unsent_bytes += len(data) - written
            if is_first:
                self._update_events()

    def pause(self) -> None:
        """Stop reading until resumed, so that TCP flow control stops the peer."""
        if not self._is_paused and not self._is_closed:
            self._is_paused = True
            self._update_events()

    def resume(self) -> None:
        """Resume reading."""
        if self._is_paused and not self._is_closed:
            self._is_paused = False
            self._update_events()

    def shut_down_sending(self) -> None:
        """Close the sending side."""
        try:
            self._socket.shutdown(sockets.SHUT_WR)
        except OSError:
            # The peer has already closed the connection.
            return

    def close(self) -> None:
        """Close the connection immediately; no callback is called afterwards."""
        if self._is_closed:
            return
        self._is_closed = True
        self._drop_unsent()
        self._poller.remove(self._fd)
        self._socket.close()
        # The owner holds this object: without the callbacks, both are freed at once.
        self._on_data, self._on_end = _ignore, _ignore
        self._on_drained = None

    def abort(self) -> None:
        """Close the connection, so that the kernel sends nothing more of it."""
        if not self._is_closed:
            self._socket.setsockopt(
                sockets.SOL_SOCKET, sockets.SO_LINGER, RESET_ON_CLOSE
            )
            self.close()

    def _update_events(self) -> None:
        events = 0 if self._is_paused else READ_EVENTS
        self._poller.modify(self._fd, events | (WRITE_EVENTS if self._unsent else 0))

    def _on_ready(self, events: int) -> None:
        try:
            if events == select.EPOLLIN:
                self._read()
            else:
                self._handle_events(events)
        except Exception:
            # An error in one connection must not end the process.
            logging.exception("unexpected error on a connection")
            self._end("internal error")

    def _handle_events(self, events: int) -> None:
        if events & WRITE_EVENTS and self._unsent:
            self._send_unsent()
            if not self._unsent:
                self._update_events()
                if self._on_drained is not None:
                    self._on_drained()
        if self._is_closed or not events & ~WRITE_EVENTS:
            return
        if self._should_discard_at_end and events & select.EPOLLRDHUP:
            self._end(CLOSED_BY_PEER)
        else:
            self._read()

    def _send_unsent(self) -> None:
        """Send as much as the kernel takes."""
        while self._unsent:
            chunk = self._take_chunk()
            written = self._write(chunk)
            if self._error is not None:
                self._drop_unsent()
                return
            self._unsent_bytes -= written
            if written < len(chunk):
                self._unsent.appendleft(chunk[written:])
                return

    def _take_chunk(self) -> memoryview:
        """Take the first message, or several small ones that one call can send."""
        chunk = self._unsent.popleft()
        if len(chunk) >= MAX_JOINED_BYTES or not self._unsent:
            return chunk
        parts, size = [chunk], len(chunk)
        while self._unsent and size + len(self._unsent[0]) <= MAX_JOINED_BYTES:
            size += len(self._unsent[0])
            parts.append(self._unsent.popleft())
        return memoryview(b"".join(parts))

    def _drop_unsent(self) -> None:
        self._unsent.clear()
        self._unsent_bytes = 0

    def _read(self) -> None:
        try:
            data = os.read(self._fd, RECEIVE_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self._end(str(error))
            return
        if data:
            self._on_data(data)
        elif self._error is not None:
            self._end(str(self._error))
        else:
            self._end(CLOSED_BY_PEER)

    def _write(self, data) -> int:
        try:
            written = os.write(self._fd, data)
        except BlockingIOError:
            return 0
        except OSError as error:
            # What the peer sent before can still be read; the end follows it.
            self._keep_error(error)
            return len(data)
        self._sent_bytes += written
        return written

    def _keep_error(self, error: OSError) -> None:
        """Keep the first error, without the frames, which refer to what was read."""
        self._error = self._error or error.with_traceback(None)

    def _end(self, reason: str) -> None:
        on_end = self._on_end
        self.close()
        on_end(reason)


def _ignore(value: bytes | str) -> None:
    """Take the place of the callbacks of a closed connection."""
