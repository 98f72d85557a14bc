"""Relay frame connections and optionally drop their bytes without closing them."""

import trio

from persimmonhall.address import Address, parse_address
from persimmonhall.control.replica_messages import PEER_REQUESTS, Packet
from persimmonhall.wire.frames import HEADER, PREAMBLE

RECEIVE_BUFFER_BYTES = 64 * 1024


class Relay:
    """Relay connections to the frame address of one control VM."""

    def __init__(self, target: str):
        self._target: Address = parse_address(target).unwrap()
        self._drops_all = False
        self._dropped_sources: set[str] = set()
        self.address = ""

    def drop_all(self) -> None:
        """Drop all incoming bytes and the replies to them."""
        self._drops_all = True

    def drop_source(self, name: str) -> None:
        """Drop the bytes that one control VM sends."""
        self._dropped_sources.add(name)

    def stop_dropping(self) -> None:
        """Relay all bytes again."""
        self._drops_all = False
        self._dropped_sources.clear()

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Accept connections until cancelled."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        task_status.started()
        await trio.serve_listeners(self._serve, listeners)

    async def _serve(self, incoming: trio.SocketStream) -> None:
        connection = _RelayedConnection(self, incoming)
        try:
            outgoing = await trio.open_tcp_stream(self._target.host, self._target.port)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(connection.pump, incoming, outgoing, True)
                nursery.start_soon(connection.pump, outgoing, incoming, False)
        except* (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            await trio.aclose_forcefully(incoming)

    def should_drop(self, source: str | None) -> bool:
        """Return whether bytes of a source are dropped."""
        if self._drops_all:
            return True
        return bool(self._dropped_sources) and (
            source is None or source in self._dropped_sources
        )


class _RelayedConnection:
    """Relay one connection; once bytes were dropped, all later ones are dropped too."""

    def __init__(self, relay: Relay, incoming: trio.SocketStream):
        self._relay = relay
        self._source: str | None = None
        self._first_bytes = b""
        self._is_dropping = False

    async def pump(self, source, target, from_peer: bool) -> None:
        """Copy bytes in one direction."""
        while data := await source.receive_some(RECEIVE_BUFFER_BYTES):
            if from_peer and self._source is None:
                self._first_bytes += data
                self._source = _sender_name(self._first_bytes)
            self._is_dropping = self._is_dropping or self._relay.should_drop(
                self._source
            )
            if not self._is_dropping:
                await target.send_all(data)
        raise trio.BrokenResourceError


def _sender_name(first_bytes: bytes) -> str | None:
    """Return the name of the control VM that sent the first packet, if known."""
    start = len(PREAMBLE) + HEADER.size
    if len(first_bytes) < start:
        return None
    length = HEADER.unpack_from(first_bytes, len(PREAMBLE))[0]
    if len(first_bytes) < start + length:
        return None
    message = PEER_REQUESTS.decode(first_bytes[start : start + length])
    return message.sender.partition("#")[0] if isinstance(message, Packet) else None
