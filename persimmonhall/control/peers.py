"""Send messages and requests to the other control VMs."""

from collections import Counter
from collections.abc import Callable

import trio
from returns.result import Failure, Result, Success

from persimmonhall.address import Address, parse_address
from persimmonhall.control.replica_messages import PEER_REPLIES, PEER_REQUESTS, Packet
from persimmonhall.errors import ErrorKind, Ran, Refusal, refuse
from persimmonhall.ids import ReplicaId
from persimmonhall.raft.core import RaftCore
from persimmonhall.raft.messages import MESSAGES, Message
from persimmonhall.wire.frames import Channel
from persimmonhall.wire.link import LinkPool

MAX_IN_FLIGHT_PER_PEER = 64
DELIVERY_TIMEOUT_S = 1.0
MAX_PROBES = 3
PROBE_INTERVAL_S = 0.02
PROBE_TIMEOUT_S = 0.2


class Peers:
    """Send one-way packets, and requests that get a reply."""

    def __init__(self, nursery: trio.Nursery, links: LinkPool, local_address: Address):
        self._nursery = nursery
        self._links = links
        self._local_address = local_address
        self._addresses: dict[ReplicaId, str] = {}
        self._in_flight: Counter[Address] = Counter()
        self._on_exit: Callable[[Address], None] = lambda _: None
        links.set_end_callback(self._on_connection_closed)

    def set_exit_callback(self, on_exit: Callable[[Address], None]) -> None:
        """Set the callback for the exit of a peer's process."""
        self._on_exit = on_exit

    def record_sender(self, packet: Packet) -> None:
        """Record the address at which a sender can be reached."""
        self._addresses[packet.sender] = packet.reply_to

    def address_of(self, core: RaftCore, replica: ReplicaId) -> Address | None:
        """Return the address of a replica, if known."""
        member = core.replicas.get(replica)
        text = member.address if member is not None else self._addresses.get(replica)
        return parse_address(text).value_or(None) if text else None

    def send(self, core: RaftCore, recipient: ReplicaId, message: Message) -> None:
        """Send a message; drop it if too many to this peer are in flight."""
        address = self.address_of(core, recipient)
        if address is None or self._in_flight[address] >= MAX_IN_FLIGHT_PER_PEER:
            return
        packet = Packet(
            cluster=core.replicas.cluster,
            sender=core.id,
            reply_to=str(self._local_address),
            recipient=recipient,
            message=MESSAGES.encode(message),
        )
        self._nursery.start_soon(self._deliver, address, PEER_REQUESTS.encode(packet))

    async def send_request(self, address: Address, request, timeout_s: float) -> Result:
        """Send a request and return its reply, or the reason why there is none."""
        failure = refuse(ErrorKind.NO_QUORUM, f"the request to {address} timed out")
        with trio.move_on_after(timeout_s):
            result = await self._links.request(
                address, Channel.REPLICA, PEER_REQUESTS.encode(request)
            )
            return _decode_reply(result)
        self._links.reset(address)
        return Failure(Refusal(failure.kind, failure.detail, Ran.UNKNOWN))

    def _on_connection_closed(self, address: Address) -> None:
        self._nursery.start_soon(self._probe_for_exit, address)

    async def _probe_for_exit(self, address: Address) -> None:
        """Distinguish the exit of a peer's process from a broken connection."""
        for _ in range(MAX_PROBES):
            if await _refuses_connections(address):
                self._on_exit(address)
                return
            await trio.sleep(PROBE_INTERVAL_S)

    async def _deliver(self, address: Address, payload: bytes) -> None:
        self._in_flight[address] += 1
        try:
            with trio.move_on_after(DELIVERY_TIMEOUT_S):
                await self._links.request(address, Channel.REPLICA, payload)
                return
            # After a network partition, a connection may deliver nothing for minutes.
            self._links.reset(address)
        finally:
            self._in_flight[address] -= 1


async def _refuses_connections(address: Address) -> bool:
    """Return whether an address refuses connections; a timeout is no refusal."""
    with trio.move_on_after(PROBE_TIMEOUT_S):
        try:
            stream = await trio.open_tcp_stream(address.host, address.port)
        except OSError as error:
            return _is_connection_refused(error)
        await stream.aclose()
    return False


def _is_connection_refused(error: BaseException | None) -> bool:
    if isinstance(error, BaseExceptionGroup):
        return all(map(_is_connection_refused, error.exceptions))
    if isinstance(error, ConnectionRefusedError):
        return True
    return error is not None and _is_connection_refused(error.__cause__)


def _decode_reply(result: Result) -> Result:
    match result:
        case Success(data):
            try:
                return Success(PEER_REPLIES.decode(data))
            except ValueError as error:
                return Failure(refuse(ErrorKind.NO_QUORUM, str(error), ran=Ran.UNKNOWN))
        case Failure(error):
            return Failure(refuse(ErrorKind.NO_QUORUM, str(error), ran=error.ran))
