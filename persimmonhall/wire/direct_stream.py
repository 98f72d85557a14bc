"""Read and write a TCP connection without a turn of the loop when it is ready."""

import os
import select

import trio

DIRECT_OPERATIONS = 64


class DirectStream:
    """Try the system call first and wait only when it would block."""

    def __init__(self, stream: trio.SocketStream):
        self._stream = stream
        self._fd = stream.socket.fileno()
        self._closed = False
        self._direct = 0

    @property
    def fd(self) -> int:
        """Return the file descriptor."""
        return self._fd

    @property
    def readable(self) -> bool:
        """Tell whether bytes or the end have arrived."""
        return self._has(select.POLLIN)

    @property
    def hung_up(self) -> bool:
        """Tell whether the peer has closed its side."""
        return self._has(select.POLLRDHUP)

    async def receive_some(self, size: int) -> bytes:
        """Return the next bytes, or none at the end."""
        await self._take_turn()
        while True:
            self._check_open()
            try:
                return os.read(self._fd, size)
            except BlockingIOError:
                await trio.lowlevel.wait_readable(self._fd)
            except OSError as error:
                raise trio.BrokenResourceError(str(error)) from error

    async def send_all(self, data: bytes) -> None:
        """Write all bytes; a cancelled write leaves an unknown part written."""
        rest = memoryview(data)
        while rest:
            self._check_open()
            try:
                rest = rest[os.write(self._fd, rest) :]
            except BlockingIOError:
                await trio.lowlevel.wait_writable(self._fd)
            except OSError as error:
                raise trio.BrokenResourceError(str(error)) from error
        await self._take_turn()

    def write_now(self, data: bytes) -> int:
        """Write what the connection takes without waiting; return its length."""
        if self._closed:
            return 0
        try:
            return os.write(self._fd, data)
        except OSError:
            # The writer that waits for room meets a lasting fault itself.
            return 0

    async def send_eof(self) -> None:
        """End the sending side."""
        await self._stream.send_eof()

    def shut_down(self) -> None:
        """End both directions before another task runs."""
        try:
            self._stream.socket.shutdown(trio.socket.SHUT_RDWR)
        except OSError:
            pass

    async def aclose(self) -> None:
        """Close the connection at once."""
        self._closed = True
        await trio.aclose_forcefully(self._stream)

    def _has(self, event: int) -> bool:
        poll = select.poll()
        poll.register(self._fd, event)
        return bool(poll.poll(0))

    def _check_open(self) -> None:
        if self._closed:
            raise trio.ClosedResourceError("the connection was closed here")

    async def _take_turn(self) -> None:
        # Others get their turn although this connection never blocks.
        self._direct += 1
        if self._direct >= DIRECT_OPERATIONS:
            self._direct = 0
            await trio.lowlevel.checkpoint()
