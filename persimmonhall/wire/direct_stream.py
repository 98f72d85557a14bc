"""Read and write a TCP connection without a scheduler switch while it is ready."""

import os
import select

import trio

MAX_OPERATIONS_WITHOUT_YIELD = 64


class DirectStream:
    """Try the system call first and wait only if it would block."""

    def __init__(self, stream: trio.SocketStream):
        self._stream = stream
        self._fd = stream.socket.fileno()
        self._is_closed = False
        self._operations_since_yield = 0

    @property
    def fd(self) -> int:
        """Return the file descriptor."""
        return self._fd

    @property
    def is_readable(self) -> bool:
        """Return whether data or the end of the stream can be read."""
        return self._poll(select.POLLIN)

    @property
    def is_closed_by_peer(self) -> bool:
        """Return whether the peer has closed its sending side."""
        return self._poll(select.POLLRDHUP)

    async def receive_some(self, size: int) -> bytes:
        """Return the next bytes, or no bytes at the end of the stream."""
        await self._yield_if_due()
        while True:
            self._check_open()
            try:
                return os.read(self._fd, size)
            except BlockingIOError:
                await trio.lowlevel.wait_readable(self._fd)
            except OSError as error:
                raise trio.BrokenResourceError(str(error)) from error

    async def send_all(self, data: bytes) -> None:
        """Write all bytes; a cancelled write may have written part of them."""
        remaining = memoryview(data)
        while remaining:
            self._check_open()
            try:
                remaining = remaining[os.write(self._fd, remaining) :]
            except BlockingIOError:
                await trio.lowlevel.wait_writable(self._fd)
            except OSError as error:
                raise trio.BrokenResourceError(str(error)) from error
        await self._yield_if_due()

    def write_nowait(self, data: bytes) -> int:
        """Write as much as possible without waiting; return the number of bytes."""
        if self._is_closed:
            return 0
        try:
            return os.write(self._fd, data)
        except OSError:
            # If the error persists, the next send_all raises it.
            return 0

    async def send_eof(self) -> None:
        """Close the sending side."""
        await self._stream.send_eof()

    def shut_down(self) -> None:
        """Shut down both directions without yielding to another task."""
        try:
            self._stream.socket.shutdown(trio.socket.SHUT_RDWR)
        except OSError:
            pass

    async def aclose(self) -> None:
        """Close the connection immediately."""
        self._is_closed = True
        await trio.aclose_forcefully(self._stream)

    def _poll(self, event: int) -> bool:
        poll = select.poll()
        poll.register(self._fd, event)
        return bool(poll.poll(0))

    def _check_open(self) -> None:
        if self._is_closed:
            raise trio.ClosedResourceError("this side has closed the connection")

    async def _yield_if_due(self) -> None:
        # Lets other tasks run although this connection never blocks.
        self._operations_since_yield += 1
        if self._operations_since_yield >= MAX_OPERATIONS_WITHOUT_YIELD:
            self._operations_since_yield = 0
            await trio.lowlevel.checkpoint()
