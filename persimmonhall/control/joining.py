"""Add a replica with an empty disk or a new address to the replica set."""

import trio
from absl import logging
from returns.result import Success

from persimmonhall.address import Address
from persimmonhall.control.replica import Replica
from persimmonhall.control.replica_messages import Join, Received
from persimmonhall.ids import NodeName, ReplicaId

JOIN_INTERVAL_S = 0.5
REQUEST_TIMEOUT_S = 1.0


class Joiner:
    """Send join requests to the configured peers until the leader adds this replica."""

    def __init__(
        self,
        replica: Replica,
        name: NodeName,
        local_address: Address,
        peers: tuple[Address, ...],
    ):
        self._replica = replica
        self._join = Join(replica.core.id, name, str(local_address))
        self._peers = peers

    async def run(self) -> None:
        """Send join requests while the set lacks this address, until cancelled."""
        while True:
            if self._should_join():
                await self._send_join_to_peers()
            await trio.sleep(JOIN_INTERVAL_S)

    def _should_join(self) -> bool:
        replicas = self._replica.core.replicas
        if not replicas.members:
            return True
        member = replicas.get(self._replica.core.id)
        # A removed member does not rejoin until its data folder is emptied.
        return member is not None and member.address != self._join.address

    async def _send_join_to_peers(self) -> None:
        logging.info("asking to join id=%s peers=%d", self._join.id, len(self._peers))
        async with trio.open_nursery() as nursery:
            for address in self._peers:
                nursery.start_soon(self._send_join, address)

    async def _send_join(self, address: Address) -> None:
        await self._replica.peers.send_request(address, self._join, REQUEST_TIMEOUT_S)


async def find_cluster(peers, addresses: tuple[Address, ...]) -> str:
    """Return the cluster that a peer already belongs to, or an empty string."""
    probe = Join(ReplicaId(""), NodeName(""), "", relayed=True)
    for address in addresses:
        match await peers.send_request(address, probe, REQUEST_TIMEOUT_S):
            case Success(Received(cluster)) if cluster:
                return cluster
    return ""
