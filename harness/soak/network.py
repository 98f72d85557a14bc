"""Relay TCP and UDP to the processes and disturb what passes."""

import socket
import struct
from enum import Enum

import trio

from persimmonhall.address import Address

RECEIVE_BYTES = 64 * 1024
POLL_S = 0.02
DELAY_S = 0.15
THROTTLED_CHUNK_BYTES = 512
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
CONNECTION_ERRORS = (OSError, trio.BrokenResourceError, trio.ClosedResourceError)


class NetworkFault(Enum):
    """Define what is done to the traffic of one process."""

    DELAY = "delay"
    RESET = "reset"
    CUT_IN = "cut in"
    CUT_OUT = "cut out"
    SILENCE = "silence"
    THROTTLE = "throttle"


class Network:
    """Hold the faults in force; the IP address of a sender identifies it."""

    def __init__(self):
        self.faults: dict[str, NetworkFault] = {}
        self.names_by_host: dict[str, str] = {}
        self._streams: dict[str, set[trio.SocketStream]] = {}

    def set_fault(self, name: str, fault: NetworkFault | None) -> None:
        """Start or end the fault of a process."""
        if fault is None:
            self.faults.pop(name, None)
            return
        self.faults[name] = fault
        if fault is NetworkFault.RESET:
            for stream in self._streams.get(name, ()):
                _reset(stream)

    def is_blocked(self, sender: str, receiver: str) -> bool:
        """Return whether what a process sends does not reach another one."""
        is_sent = self.faults.get(sender) not in (
            NetworkFault.CUT_OUT,
            NetworkFault.SILENCE,
        )
        is_received = self.faults.get(receiver) not in (
            NetworkFault.CUT_IN,
            NetworkFault.SILENCE,
        )
        return not (is_sent and is_received)

    def has(self, fault: NetworkFault, *names: str) -> bool:
        """Return whether any of the processes has a fault."""
        return any(self.faults.get(name) is fault for name in names)

    async def relay(
        self,
        name: str,
        address: Address,
        target: Address,
        task_status=trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Relay all traffic to one process until cancelled."""
        datagrams = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
        await datagrams.bind((address.host, address.port))
        listeners = await trio.open_tcp_listeners(address.port, host=address.host)

        async def serve(stream: trio.SocketStream) -> None:
            await self._relay_stream(name, stream, target)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._relay_datagrams, name, datagrams, target, nursery)
            task_status.started()
            await trio.serve_listeners(serve, listeners)

    async def _relay_datagrams(self, name, datagrams, target, nursery) -> None:
        while True:
            data, (host, _) = await datagrams.recvfrom(RECEIVE_BYTES)
            sender = self.names_by_host.get(host, "")
            if not self.is_blocked(sender, name):
                is_late = self.has(NetworkFault.DELAY, sender, name)
                nursery.start_soon(_send_later, datagrams, data, target, is_late)

    async def _relay_stream(self, name, stream, target) -> None:
        if self.has(NetworkFault.RESET, name):
            _reset(stream)
            await trio.aclose_forcefully(stream)
            return
        try:
            host, _ = stream.socket.getpeername()
        except OSError:
            # The sender has reset the connection.
            await trio.aclose_forcefully(stream)
            return
        sender = self.names_by_host.get(host, "")
        if self.is_blocked(sender, name) or self.is_blocked(name, sender):
            # No connection is set up through a cut, so nothing sent on it arrives.
            while self.is_blocked(sender, name) or self.is_blocked(name, sender):
                await trio.sleep(POLL_S)
            _reset(stream)
            await trio.aclose_forcefully(stream)
            return
        try:
            async with (
                stream,
                await trio.open_tcp_stream(target.host, target.port) as server,
                trio.open_nursery() as nursery,
            ):
                streams = self._streams.setdefault(name, set())
                streams.add(stream)
                nursery.start_soon(self._pump, stream, server, sender, name, nursery)
                await self._pump(server, stream, name, sender, nursery)
        except* CONNECTION_ERRORS:
            pass
        finally:
            self._streams.get(name, set()).discard(stream)

    async def _pump(self, source, sink, sender, receiver, nursery) -> None:
        data = b"-"
        try:
            while data:
                data = await source.receive_some(RECEIVE_BYTES)
                await self._wait_until_passed(sender, receiver, source)
                if self.has(NetworkFault.THROTTLE, sender, receiver):
                    for start in range(0, len(data), THROTTLED_CHUNK_BYTES):
                        await trio.sleep(POLL_S)
                        chunk = data[start : start + THROTTLED_CHUNK_BYTES]
                        await sink.send_all(chunk)
                else:
                    await sink.send_all(data)
        finally:
            nursery.cancel_scope.cancel()

    async def _wait_until_passed(
        self, sender: str, receiver: str, source: trio.SocketStream
    ) -> None:
        # Nothing is lost within a connection: TCP would send it again, but not after
        # the sender has aborted the connection.
        while self.is_blocked(sender, receiver):
            if source.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                raise trio.BrokenResourceError
            await trio.sleep(POLL_S)
        if self.has(NetworkFault.DELAY, sender, receiver):
            await trio.sleep(DELAY_S)


async def _send_later(datagrams, data: bytes, target: Address, is_late: bool) -> None:
    if is_late:
        await trio.sleep(DELAY_S)
    try:
        await datagrams.sendto(data, (target.host, target.port))
    except OSError:
        # The process has ended.
        pass


def _reset(stream: trio.SocketStream) -> None:
    try:
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        stream.socket.close()
    except OSError:
        pass
