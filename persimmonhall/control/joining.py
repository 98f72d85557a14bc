"""Add a replica to the replica set that it is not in, or update its address."""

from collections.abc import Callable, Iterable

import trio
from absl import logging
from returns.result import Success

from persimmonhall.address import Address, parse_address
from persimmonhall.control.declined import Declined
from persimmonhall.control.join_rule import JoinRule
from persimmonhall.control.replica import Replica
from persimmonhall.control.replica_messages import Join, Received
from persimmonhall.ids import NodeName, ReplicaId

JOIN_INTERVAL_S = 0.5
REQUEST_TIMEOUT_S = 1.0
LOG_INTERVAL_S = 5.0


class Joiner:
    """Ask other control VMs to add this replica while the set may lack it.

    These are the configured ones, those known otherwise and those of the own log: each
    list may be outdated, and any member that knows the leader will do.
    """

    def __init__(
        self,
        replica: Replica,
        name: NodeName,
        local_address: Address,
        find_peers: Callable[[], Iterable[Address]],
    ):
        self._replica = replica
        self._name = name
        self._local_address = local_address
        self._rule = JoinRule(replica.core, str(local_address))
        self._find_peers = find_peers
        self._logged_at = -LOG_INTERVAL_S

    async def run(self) -> None:
        """Ask while the set lacks this replica or its address, until cancelled."""
        while True:
            if self._rule.must_ask(trio.current_time()):
                await self._send_join_to_peers()
            await trio.sleep(JOIN_INTERVAL_S)

    async def _send_join_to_peers(self) -> None:
        core, now = self._replica.core, trio.current_time()
        addresses = self._addresses()
        if now - self._logged_at >= LOG_INTERVAL_S:
            self._logged_at = now
            logging.info("asking to join id=%s peers=%d", core.id, len(addresses))
        cluster = core.replicas.cluster
        join = Join(core.id, self._name, str(self._local_address), cluster=cluster)
        async with trio.open_nursery() as nursery:
            for address in addresses:
                nursery.start_soon(self._send_join, address, join)

    def _addresses(self) -> list[Address]:
        members = self._replica.core.replicas.members
        parsed = [parse_address(m.address).value_or(None) for m in members]
        known = dict.fromkeys((*self._find_peers(), *filter(None, parsed)))
        return [address for address in known if address != self._local_address]

    async def _send_join(self, address: Address, join: Join) -> None:
        match await self._replica.peers.send_request(address, join, REQUEST_TIMEOUT_S):
            case Success(Declined(_, detail)):
                logging.log_every_n_seconds(
                    logging.WARNING, "not let in id=%s: %s", 10, join.id, detail
                )


async def find_cluster(peers, addresses: tuple[Address, ...]) -> str:
    """Return the cluster that a peer already belongs to, or an empty string."""
    probe = Join(ReplicaId(""), NodeName(""), "", relayed=True)
    for address in addresses:
        match await peers.send_request(address, probe, REQUEST_TIMEOUT_S):
            case Success(Received(cluster)) if cluster:
                return cluster
    return ""
