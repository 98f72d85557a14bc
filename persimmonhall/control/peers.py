"""Carry messages between the control VMs."""

from collections import Counter
from collections.abc import Callable

import trio
from returns.result import Failure, Result, Success

from persimmonhall.address import Address, parse_address
from persimmonhall.control.replica_messages import PEER_ASKS, PEER_REPLIES, Packet
from persimmonhall.errors import ErrorKind, Ran, Refusal, refuse
from persimmonhall.ids import ReplicaId
from persimmonhall.raft.core import RaftCore
from persimmonhall.raft.messages import MESSAGES, Message
from persimmonhall.wire.frames import Channel
from persimmonhall.wire.link import LinkPool

MAX_UNDER_WAY = 64
DELIVERY_TIMEOUT_S = 1.0
PROBES = 3
PROBE_INTERVAL_S = 0.02
PROBE_TIMEOUT_S = 0.2


class Peers:
    """Send packets one way, and asks that get a reply."""

    def __init__(self, nursery: trio.Nursery, links: LinkPool, own: Address):
        self._nursery = nursery
        self._links = links
        self._own = own
        self._addresses: dict[ReplicaId, str] = {}
        self._under_way: Counter[Address] = Counter()
        self._on_gone: Callable[[Address], None] = lambda _: None
        links.watch(self._on_ended)

    def watch(self, on_gone: Callable[[Address], None]) -> None:
        """Name what to call when the process of a peer has ended."""
        self._on_gone = on_gone

    def learn(self, packet: Packet) -> None:
        """Remember where a sender can be reached."""
        self._addresses[packet.sender] = packet.reply_to

    def address_of(self, core: RaftCore, replica: ReplicaId) -> Address | None:
        """Return the address of a replica, if known."""
        member = core.replicas.get(replica)
        text = member.address if member is not None else self._addresses.get(replica)
        return parse_address(text).value_or(None) if text else None

    def send(self, core: RaftCore, to: ReplicaId, message: Message) -> None:
        """Send a message; drop it if the peer takes none."""
        address = self.address_of(core, to)
        if address is None or self._under_way[address] >= MAX_UNDER_WAY:
            return
        packet = Packet(
            cluster=core.replicas.cluster,
            sender=core.id,
            reply_to=str(self._own),
            recipient=to,
            message=MESSAGES.encode(message),
        )
        self._nursery.start_soon(self._deliver, address, PEER_ASKS.encode(packet))

    async def ask(self, address: Address, ask, timeout_s: float) -> Result:
        """Send an ask and return its reply, or why there is none."""
        failure = refuse(ErrorKind.NO_QUORUM, f"{address} did not answer in time")
        with trio.move_on_after(timeout_s):
            result = await self._links.ask(
                address, Channel.REPLICA, PEER_ASKS.encode(ask)
            )
            return _read(result)
        self._links.reset(address)
        return Failure(Refusal(failure.kind, failure.detail, Ran.UNKNOWN))

    def _on_ended(self, address: Address) -> None:
        self._nursery.start_soon(self._check, address)

    async def _check(self, address: Address) -> None:
        """Tell a process that has ended from a connection that broke."""
        for _ in range(PROBES):
            if await _refuses(address):
                self._on_gone(address)
                return
            await trio.sleep(PROBE_INTERVAL_S)

    async def _deliver(self, address: Address, payload: bytes) -> None:
        self._under_way[address] += 1
        try:
            with trio.move_on_after(DELIVERY_TIMEOUT_S):
                await self._links.ask(address, Channel.REPLICA, payload)
                return
            # A silent cut leaves a connection that delivers nothing for minutes.
            self._links.reset(address)
        finally:
            self._under_way[address] -= 1


async def _refuses(address: Address) -> bool:
    """Tell whether nothing listens on an address; a silent cut is no answer."""
    with trio.move_on_after(PROBE_TIMEOUT_S):
        try:
            stream = await trio.open_tcp_stream(address.host, address.port)
        except OSError as error:
            return _is_refusal(error)
        await stream.aclose()
    return False


def _is_refusal(error: BaseException | None) -> bool:
    if isinstance(error, BaseExceptionGroup):
        return all(map(_is_refusal, error.exceptions))
    if isinstance(error, ConnectionRefusedError):
        return True
    return error is not None and _is_refusal(error.__cause__)


def _read(result: Result) -> Result:
    match result:
        case Success(data):
            return Success(PEER_REPLIES.decode(data))
        case Failure(error):
            return Failure(refuse(ErrorKind.NO_QUORUM, str(error), ran=error.ran))
