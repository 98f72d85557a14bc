"""Read a connection in one task and write to it from any."""

import os
import select

import trio

RECEIVE_BYTES = 64 * 1024


class Duplex:
    """Write at once what the connection takes and the rest as it makes room."""

    def __init__(self, stream: trio.SocketStream, nursery: trio.Nursery):
        self._stream = stream
        self._nursery = nursery
        self._fd = stream.socket.fileno()
        self._unsent = bytearray()
        self._closed = False

    @property
    def unsent_bytes(self) -> int:
        """Return how much waits until the peer reads."""
        return len(self._unsent)

    @property
    def is_closed(self) -> bool:
        """Tell whether the connection was closed here."""
        return self._closed

    @property
    def readable(self) -> bool:
        """Tell whether bytes or the end have arrived."""
        poll = select.poll()
        poll.register(self._fd, select.POLLIN)
        return bool(poll.poll(0))

    async def receive(self) -> bytes:
        """Return the next bytes, or none at the end; raise BrokenResourceError."""
        while True:
            if self._closed:
                raise trio.ClosedResourceError("the connection was closed here")
            await trio.lowlevel.wait_readable(self._fd)
            try:
                return os.read(self._fd, RECEIVE_BYTES)
            except BlockingIOError:
                continue
            except OSError as error:
                raise trio.BrokenResourceError(str(error)) from error

    def send(self, data: bytes) -> None:
        """Send bytes in the order of the calls; a fault shows where the task reads."""
        if self._closed:
            return
        if self._unsent:
            self._unsent += data
            return
        try:
            written = os.write(self._fd, data)
        except BlockingIOError:
            written = 0
        except OSError:
            # The task that reads meets the same fault and ends the connection.
            return
        if written < len(data):
            self._unsent += data[written:]
            self._nursery.start_soon(self._drain)

    def shut_down_sending(self) -> None:
        """Tell the peer that nothing follows."""
        try:
            self._stream.socket.shutdown(trio.socket.SHUT_WR)
        except OSError:
            # The peer has closed already.
            return

    def close(self) -> None:
        """Close the connection at once."""
        if self._closed:
            return
        self._closed = True
        self._unsent.clear()
        self._stream.socket.close()

    async def _drain(self) -> None:
        try:
            while self._unsent and not self._closed:
                await trio.lowlevel.wait_writable(self._fd)
                if not self._closed:
                    del self._unsent[: os.write(self._fd, self._unsent)]
        except BlockingIOError:
            self._nursery.start_soon(self._drain)
        except (OSError, trio.ClosedResourceError):
            # As in send: the reading task ends the connection.
            self._unsent.clear()
