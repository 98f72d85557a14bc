"""Check the member table."""

from dataclasses import replace

from persimmonhall.ids import ServiceName
from persimmonhall.membership.messages import MemberState
from persimmonhall.membership.table import MemberTable
from tests.builders import make_member

CUE = ServiceName("cue")
REELS = ServiceName("reels")


def _names(table: MemberTable, service: ServiceName) -> list[str]:
    return [member.node for member in table.servers_of(service)]


def test_servers_follow_state_and_service():
    """List a member only while it is ready, under its current service."""
    own, peer = make_member(1), make_member(2)
    table = MemberTable(own)
    table.put(peer)
    assert _names(table, CUE) == [own.node, peer.node]
    table.put(replace(peer, service=REELS))
    assert (_names(table, CUE), _names(table, REELS)) == ([own.node], [peer.node])
    table.set_own(replace(own, state=MemberState.LEAVING))
    table.remove(peer.node)
    assert (_names(table, CUE), _names(table, REELS)) == ([], [])


def test_list_of_servers_stays_the_same_until_one_changes():
    """Reuse the tuple while only the versions of records change."""
    peer = make_member(2)
    table = MemberTable(make_member(1))
    table.put(peer)
    listed = table.servers_of(CUE)
    table.put(replace(peer, version=2))
    assert table.servers_of(CUE) is listed
    table.put(replace(peer, slots=9, version=3))
    assert table.servers_of(CUE) is not listed
