"""Relay TCP and UDP between zones with a delay; silently drop cut traffic."""

from dataclasses import dataclass, field

import trio

from persimmonhall.address import Address
from persimmonhall.ids import ZoneName

RECEIVE_BUFFER_BYTES = 64 * 1024
MAX_QUEUED_CHUNKS = 64
CONNECTION_ERRORS = (trio.BrokenResourceError, trio.ClosedResourceError, OSError)


@dataclass
class ZoneCuts:
    """Track which zone cannot send to which; IP addresses identify zones."""

    zones: dict[str, ZoneName]
    delay_s: float = 0.0
    _cut: set[tuple[ZoneName, ZoneName]] = field(default_factory=set)
    _changed: trio.Event = field(default_factory=trio.Event)

    def cut(self, sender: ZoneName, receiver: ZoneName) -> None:
        """Drop all traffic from one zone to another."""
        self._cut.add((sender, receiver))

    def end_cuts(self) -> None:
        """End all cuts."""
        self._cut.clear()
        self._changed.set()
        self._changed = trio.Event()

    def is_cut(self, host: str, receiver: ZoneName) -> bool:
        """Return whether an IP address is cut off from a zone."""
        return (self.zones.get(host), receiver) in self._cut

    def isolate(self, zone: ZoneName) -> None:
        """Drop all traffic between a zone and all others."""
        for other in self.zones.values():
            if other != zone:
                self.cut(zone, other)
                self.cut(other, zone)

    def delay_between(self, sender: ZoneName | None, receiver: ZoneName) -> float:
        """Return the one-way delay between two zones in seconds."""
        return 0.0 if sender == receiver else self.delay_s

    async def wait_until_open(
        self, sender: ZoneName | None, receiver: ZoneName
    ) -> None:
        """Wait until one zone can send to another."""
        while (sender, receiver) in self._cut:
            await self._changed.wait()


class ZoneRelay:
    """Relay to one process on an address that stays the same over its restarts."""

    def __init__(self, cuts: ZoneCuts, zone: ZoneName):
        self._cuts = cuts
        self._zone = zone
        self.address = Address("127.0.0.1", 0)
        self.target: Address | None = None

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Relay until cancelled."""
        [listener] = await trio.open_tcp_listeners(0, host=self.address.host)
        self.address = Address(*listener.socket.getsockname())
        socket = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
        await socket.bind((self.address.host, self.address.port))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._relay_datagrams, socket, nursery)
            task_status.started(self)
            await trio.serve_listeners(self._relay_stream, [listener])

    async def _relay_datagrams(
        self, socket: trio.socket.SocketType, nursery: trio.Nursery
    ) -> None:
        while True:
            data, (host, _) = await socket.recvfrom(RECEIVE_BUFFER_BYTES)
            if self.target is not None and not self._cuts.is_cut(host, self._zone):
                delay_s = self._cuts.delay_between(
                    self._cuts.zones.get(host), self._zone
                )
                nursery.start_soon(self._send_datagram, socket, data, delay_s)

    async def _send_datagram(
        self, socket: trio.socket.SocketType, data: bytes, delay_s: float
    ) -> None:
        await trio.sleep(delay_s)
        await socket.sendto(data, (self.target.host, self.target.port))

    async def _relay_stream(self, stream: trio.SocketStream) -> None:
        host = stream.socket.getpeername()[0]
        zone = self._cuts.zones.get(host)
        if self.target is None:
            return
        try:
            async with (
                stream,
                await trio.open_tcp_stream(
                    self.target.host, self.target.port
                ) as target_stream,
                trio.open_nursery() as nursery,
            ):
                scope = nursery.cancel_scope
                nursery.start_soon(
                    self._copy_stream, stream, target_stream, zone, self._zone, scope
                )
                await self._copy_stream(target_stream, stream, self._zone, zone, scope)
        except* CONNECTION_ERRORS:
            pass

    async def _copy_stream(self, source, sink, sender, receiver, scope) -> None:
        delay_s = self._cuts.delay_between(sender, receiver)
        chunks_in, chunks_out = trio.open_memory_channel[tuple[float, bytes]](
            MAX_QUEUED_CHUNKS
        )

        async def deliver() -> None:
            async for due, data in chunks_out:
                await trio.sleep_until(due)
                await self._cuts.wait_until_open(sender, receiver)
                await sink.send_all(data)
            scope.cancel()

        async with trio.open_nursery() as nursery, chunks_in:
            nursery.start_soon(deliver)
            while data := await source.receive_some(RECEIVE_BUFFER_BYTES):
                await chunks_in.send((trio.current_time() + delay_s, data))
