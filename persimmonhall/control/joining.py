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
REJOIN_AFTER_S = 2.0


class Joiner:
    """Send join requests to the configured peers until the leader adds this replica.

    With `rejoins`, a replica that was removed while it did not respond joins again.
    """

    def __init__(
        self,
        replica: Replica,
        name: NodeName,
        local_address: Address,
        peers: tuple[Address, ...],
        *,
        rejoins: bool = False,
    ):
        self._replica = replica
        self._join = Join(replica.core.id, name, str(local_address))
        self._peers = peers
        self._rejoins = rejoins

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
        if member is not None and member.address != self._join.address:
            return True
        # A member that an operator removed does not rejoin until its data folder is
        # emptied; one that was removed because it did not respond does.
        return self._rejoins and (member is None or self._is_leaderless())

    def _is_leaderless(self) -> bool:
        """Return whether no leader has been known for long, as after a removal."""
        since = self._replica.driver.leaderless_since
        return trio.current_time() >= since + REJOIN_AFTER_S

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
