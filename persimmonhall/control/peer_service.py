"""Handle the requests of other control VMs."""

from dataclasses import replace

import trio
from absl import logging
from returns.result import Failure, Success

from persimmonhall.control.messages import COMMAND_REPLIES, COMMANDS, Declined
from persimmonhall.control.replica import FORWARD_TIMEOUT_S, Replica
from persimmonhall.control.replica_messages import (
    PEER_REPLIES,
    PEER_REQUESTS,
    Forward,
    Forwarded,
    Join,
    Packet,
    ReadAt,
    ReadIndex,
    Received,
    Remove,
)
from persimmonhall.errors import ErrorKind, refuse
from persimmonhall.raft.messages import MESSAGES, Member
from persimmonhall.raft.role import Role

REMOVED_DETAIL = "removed from the set for good; start it with an empty folder"


class PeerService:
    """Handle Raft packets, membership changes, forwarded commands and reads."""

    def __init__(self, replica: Replica):
        self._replica = replica
        self._core = replica.core

    async def handle(self, payload: bytes) -> bytes:
        """Handle one request."""
        return PEER_REPLIES.encode(await self._answer(PEER_REQUESTS.decode(payload)))

    async def _answer(self, request):
        match request:
            case Packet():
                self._on_packet(request)
            case Join():
                return await self._on_join(request)
            case Forward(command):
                return await self._on_forward(command)
            case ReadIndex():
                return await self._on_read_index()
            case Remove(name):
                return self._on_remove(name)
        return Received(self._core.replicas.cluster)

    def _on_packet(self, packet: Packet) -> None:
        if packet.recipient != self._core.id:
            return
        if self._is_foreign(packet.cluster, packet.reply_to):
            return
        self._replica.peers.record_sender(packet)
        now = trio.current_time()
        self._core.step(packet.sender, MESSAGES.decode(packet.message), now)
        self._replica.driver.wake()

    async def _on_join(self, join: Join) -> Received | Declined:
        replicas = self._core.replicas
        received = Received(replicas.cluster)
        if not join.id or self._is_foreign(join.cluster, join.address):
            return received
        if self._core.role is Role.LEADER:
            if join.id in replicas.removed:
                refusal = refuse(ErrorKind.FORBIDDEN, REMOVED_DETAIL)
                return Declined(refusal.kind, refusal.detail, refusal.ran)
            member = Member(join.id, join.name, join.address, False)
            self._core.join(member, trio.current_time())
            self._replica.driver.wake()
        elif not join.relayed and self._core.leader_id is not None:
            address = self._replica.peers.address_of(self._core, self._core.leader_id)
            if address is not None:
                relayed = replace(join, relayed=True)
                match await self._replica.peers.send_request(
                    address, relayed, FORWARD_TIMEOUT_S
                ):
                    case Success(Declined() as declined):
                        return declined
        return received

    def _is_foreign(self, cluster: str, sender: str) -> bool:
        """Return whether a sender belongs to another cluster."""
        local_cluster = self._core.replicas.cluster
        is_foreign = bool(local_cluster and cluster and cluster != local_cluster)
        if is_foreign:
            logging.log_every_n_seconds(
                logging.ERROR, "packet of another cluster from %s", 10, sender
            )
        return is_foreign

    async def _on_forward(self, command: bytes) -> Forwarded | Declined:
        # Every replica would fail to apply an entry that cannot be decoded.
        COMMANDS.decode(command)
        match await self._replica.submit_locally(command):
            case Success(reply):
                return Forwarded(COMMAND_REPLIES.encode(reply))
            case Failure(refusal):
                return Declined(refusal.kind, refusal.detail, refusal.ran)

    async def _on_read_index(self) -> ReadAt | Declined:
        index = await self._replica.read_index()
        return ReadAt(index) if index is not None else _not_leader()

    def _on_remove(self, name: str) -> Received | Declined:
        matching = [m for m in self._core.replicas.members if m.name == name]
        if self._core.role is not Role.LEADER:
            return _not_leader()
        if not matching:
            refusal = refuse(ErrorKind.NOT_FOUND, f"unknown replica {name}")
            return Declined(refusal.kind, refusal.detail, refusal.ran)
        if not self._core.remove(matching[0].id, trio.current_time()):
            detail = "another change is in progress, or no majority would be left"
            refusal = refuse(ErrorKind.NOT_LEADER, detail)
            return Declined(refusal.kind, refusal.detail, refusal.ran)
        self._replica.driver.wake()
        return Received(self._core.replicas.cluster)


def _not_leader() -> Declined:
    refusal = refuse(ErrorKind.NOT_LEADER, "this replica is not the leader")
    return Declined(refusal.kind, refusal.detail, refusal.ran)
