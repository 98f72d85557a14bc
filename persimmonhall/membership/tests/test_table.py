"""Check the member table."""

from dataclasses import replace

from persimmonhall.ids import ServiceName
from persimmonhall.membership.messages import MemberState
from persimmonhall.membership.table import MemberTable
from tests.builders import make_member

CUE = ServiceName("cue")
REELS = ServiceName("reels")


def _server_names(table: MemberTable, service: ServiceName) -> list[str]:
    return [member.node for member in table.servers_of(service)]


def test_servers_follow_state_and_service():
    """List a member only while it is ready, under its current service."""
    own, peer = make_member(1), make_member(2)
    table = MemberTable(own)
    table.put(peer)
    assert _server_names(table, CUE) == [own.node, peer.node]
    table.put(replace(peer, service=REELS))
    assert (_server_names(table, CUE), _server_names(table, REELS)) == (
        [own.node],
        [peer.node],
    )
    table.set_local_member(replace(own, state=MemberState.LEAVING))
    table.remove(peer.node)
    assert (_server_names(table, CUE), _server_names(table, REELS)) == ([], [])


def test_server_tuple_is_reused_until_a_server_changes():
    """Reuse the tuple while only the versions of records change."""
    peer = make_member(2)
    table = MemberTable(make_member(1))
    table.put(peer)
    servers = table.servers_of(CUE)
    table.put(replace(peer, version=2))
    assert table.servers_of(CUE) is servers
    table.put(replace(peer, slots=9, version=3))
    assert table.servers_of(CUE) is not servers
