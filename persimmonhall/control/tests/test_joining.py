"""Test which control VMs a replica asks to add it, and when."""

from types import SimpleNamespace

import pytest
import trio
from returns.result import Success

from persimmonhall.address import Address
from persimmonhall.control.join_rule import LEADERLESS_S, JoinRule
from persimmonhall.control.joining import JOIN_INTERVAL_S, Joiner
from persimmonhall.control.replica_messages import Received
from persimmonhall.raft.messages import Member, ReplicaSet

LOCAL = Address("127.0.0.1", 1)
FIRST_SEED, LATER_SEED, MEMBER = (Address("127.0.0.1", port) for port in (2, 3, 4))
SET = ReplicaSet(
    "cluster",
    (Member("a", "a", str(LOCAL), True), Member("b", "b", str(MEMBER), True)),
)


class FakePeers:
    """Record the requests to join."""

    def __init__(self):
        self.requests = {}

    async def send_request(self, address, join, timeout_s):
        """Receive a request to join without any effect."""
        self.requests[address] = join
        return Success(Received("cluster"))


class JoiningFixture:
    """Run the joiner of replica a, whose seeds are replaced while it runs."""

    def __init__(self, nursery, replicas=SET):
        self.core = SimpleNamespace(id="a", leader_id=None, replicas=replicas)
        self.peers = FakePeers()
        self.seeds = (LOCAL, FIRST_SEED)
        replica = SimpleNamespace(core=self.core, peers=self.peers)
        nursery.start_soon(Joiner(replica, "a", LOCAL, lambda: self.seeds).run)

    async def requests_within(self, seconds):
        """Return the requests to join that are sent within some seconds."""
        self.peers.requests = {}
        await trio.sleep(seconds)
        return self.peers.requests


async def test_replica_without_leader_asks_the_seeds_of_now_and_its_members(
    nursery, autojump_clock
):
    """It asked the seeds of its start only, which may have been replaced."""
    fixture = JoiningFixture(nursery)
    assert not await fixture.requests_within(LEADERLESS_S - JOIN_INTERVAL_S / 2)
    assert set(await fixture.requests_within(1)) == {FIRST_SEED, MEMBER}
    fixture.seeds = (LOCAL, LATER_SEED)
    requests = await fixture.requests_within(1)
    assert set(requests) == {LATER_SEED, MEMBER}
    assert requests[MEMBER].cluster == "cluster"
    fixture.core.leader_id = "b"
    await trio.sleep(JOIN_INTERVAL_S)
    assert not await fixture.requests_within(LEADERLESS_S * 2)


@pytest.mark.parametrize(
    ("replicas", "address", "asks"),
    [
        (ReplicaSet(), str(LOCAL), True),
        (SET, "127.0.0.1:9", True),
        (SET, str(LOCAL), False),
        (ReplicaSet("cluster", SET.members[1:]), str(LOCAL), False),
    ],
    ids=["empty folder", "new address", "member", "removed"],
)
def test_replica_with_a_leader_asks_only_if_the_set_lacks_it(replicas, address, asks):
    core = SimpleNamespace(id="a", leader_id="b", replicas=replicas)
    rule = JoinRule(core, address)
    assert [rule.must_ask(now) for now in (0.0, LEADERLESS_S)] == [asks, asks]
