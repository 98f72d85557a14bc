"""Test how a control VM handles the requests of others to join."""

from types import SimpleNamespace

import pytest

from persimmonhall.control.declined import Declined
from persimmonhall.control.peer_service import PeerService
from persimmonhall.control.replica_messages import (
    PEER_REPLIES,
    PEER_REQUESTS,
    Join,
    Received,
)
from persimmonhall.raft.messages import Member, ReplicaSet
from persimmonhall.raft.role import Role


class FakeLeader:
    """Lead a set of one voter from which another replica was removed for good."""

    def __init__(self):
        member = Member("a#1", "a", "10.0.0.1:1", True)
        self.core = self
        self.role = Role.LEADER
        self.replicas = ReplicaSet("cluster", (member,), removed=("c#1",))
        self.driver = SimpleNamespace(wake=lambda: None)
        self.joined = []

    def join(self, member, now):
        """Record who is added."""
        self.joined.append(member.id)


async def ask(leader: FakeLeader, replica: str, cluster: str):
    """Return the reply to a request to join."""
    join = Join(replica, replica[0], "10.0.0.2:1", cluster=cluster)
    return PEER_REPLIES.decode(
        await PeerService(leader).handle(PEER_REQUESTS.encode(join))
    )


# A replica that the set had left out was never let in again.
@pytest.mark.parametrize("cluster", ["cluster", ""])
async def test_replica_of_the_same_cluster_or_of_none_is_let_in(cluster):
    leader = FakeLeader()
    assert await ask(leader, "b#1", cluster) == Received("cluster")
    assert leader.joined == ["b#1"]


async def test_replica_of_another_cluster_is_not_let_in():
    leader = FakeLeader()
    assert await ask(leader, "b#1", "other") == Received("cluster")
    assert leader.joined == []


async def test_replica_that_was_removed_for_good_is_told_so():
    leader = FakeLeader()
    reply = await ask(leader, "c#1", "cluster")
    assert isinstance(reply, Declined) and "removed" in reply.detail
    assert leader.joined == []
