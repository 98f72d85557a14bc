"""Check the membership core on simulated networks with seeded faults."""

import random
from dataclasses import replace

import pytest

from harness.membership_network import DatagramFaults, SimulatedNetwork
from persimmonhall.membership.core import MembershipCore
from persimmonhall.membership.gossip_queue import MAX_DATAGRAM_BYTES
from persimmonhall.membership.messages import Health, Member, MemberState, News
from persimmonhall.membership.table import MemberTable
from tests.builders import make_member

FAULTS = {
    "none": DatagramFaults(),
    "loss": DatagramFaults(loss=0.05),
    "late and duplicated": DatagramFaults(duplicates=0.2, late=0.2),
    "all": DatagramFaults(loss=0.05, duplicates=0.1, late=0.1),
}
ZONES = ("suva", "nadi", "lautoka")
JOIN_TIMEOUT_S = 15.0
DETECTION_TIMEOUT_S = 20.0
HEAL_TIMEOUT_S = 40.0


@pytest.fixture(params=[(name, seed) for name in FAULTS for seed in (1, 2)], ids=str)
def network(request) -> SimulatedNetwork:
    name, seed = request.param
    network = SimulatedNetwork(seed, FAULTS[name])
    for number in range(18):
        network.start(number, ZONES[number % 3])
    network.run(JOIN_TIMEOUT_S)
    return network


def _removals(network: SimulatedNetwork, since: float) -> list:
    return [
        c for c in network.health_changes if c[0] > since and c[2].news.health.is_gone
    ]


def test_live_nodes_stay_members(network):
    """Keep live, reachable nodes as members despite loss, delay and duplicates."""
    assert network.are_all_members()
    joined = network.now
    network.run(120.0)
    assert _removals(network, joined) == []


def test_dead_nodes_are_detected_and_stale_records_are_ignored(network):
    """Detect dead nodes in time and let no stale record restore them."""
    for name in ("suva-0", "nadi-1"):
        network.kill(name)
    network.run(DETECTION_TIMEOUT_S)
    assert network.all_observe(Health.DEAD, ("suva-0", "nadi-1"))
    network.run(120.0)
    assert network.all_observe(Health.DEAD, ("suva-0", "nadi-1"))


@pytest.mark.parametrize("incarnation", [2, 0], ids=["later clock", "earlier clock"])
def test_restarted_node_rejoins(network, incarnation):
    """Accept a restarted node, even if its clock went back."""
    network.set_state("suva-0", MemberState.LEAVING)
    network.run(3.0)
    network.kill("suva-0")
    network.start(0, "suva", incarnation)
    network.run(HEAL_TIMEOUT_S)
    assert network.are_all_members()
    states = {node.table.get("suva-0").state for node in network.nodes.values()}
    assert states == {MemberState.READY}


# What left before a restart was forgotten, and a late report brought it back.
@pytest.mark.parametrize("incarnation", [2, 0], ids=["later clock", "earlier clock"])
@pytest.mark.parametrize("down_s", [0.05, 0.5, 30.0])
def test_restarted_node_learns_which_server_has_left(network, incarnation, down_s):
    """Tell it within 2 s, though it was killed as soon as two members knew."""
    for _ in range(3):
        network.record_departure("suva-0", "i-1", ["nadi-4", "lautoka-8"])
    network.run(0.01)
    network.kill("suva-0")
    network.run(down_s)
    network.start(0, "suva", incarnation)
    network.run(2.0)
    departure = network.nodes["suva-0"].table.local_member.departure
    assert departure is not None
    assert departure.instance == "i-1"
    network.kill("suva-0")
    network.run(1.0)
    network.start(0, "suva", incarnation + 1)
    network.run(HEAL_TIMEOUT_S)
    held = {node.table.get("suva-0").departure for node in network.nodes.values()}
    assert held == {departure}


@pytest.mark.parametrize("one_way", [False, True], ids=["both ways", "one way"])
def test_partitioned_zone_keeps_its_members_and_rejoins(network, one_way):
    """Keep a partitioned zone's own members, remove the others, then rejoin unaided."""
    for zone in ("nadi", "lautoka"):
        network.cut("suva", zone)
        if not one_way:
            network.cut(zone, "suva")
    network.run(60.0)
    suva = [name for name, n in network.nodes.items() if n.member.zone == "suva"]
    for name in suva:
        held = {network.observed_health(name, other) for other in suva if other != name}
        assert Health.DEAD not in held
    if not one_way:
        outside = [name for name in network.nodes if name not in suva]
        held = {network.observed_health(a, b) for a in outside for b in suva}
        assert held == {Health.DEAD}
    network.end_cuts()
    network.run(HEAL_TIMEOUT_S)
    assert network.are_all_members()
    healed = network.now
    network.run(30.0)
    assert _removals(network, healed) == []


def test_paused_node_is_removed_and_rejoins_without_accusing_others(network):
    """Remove a paused node; once resumed, it rejoins and marks no live node dead."""
    network.nodes["nadi-1"].frozen = True
    network.run(DETECTION_TIMEOUT_S)
    others = [name for name in network.nodes if name != "nadi-1"]
    assert all(
        network.observed_health(name, "nadi-1") is Health.DEAD for name in others
    )
    thawed = network.now
    network.resume("nadi-1")
    network.run(HEAL_TIMEOUT_S)
    assert network.are_all_members()
    assert [c for c in _removals(network, thawed) if c[1] == "nadi-1"] == []


def test_leaving_state_reaches_all_nodes_and_never_reverts(network):
    """Propagate the leaving state to all nodes within 3 s and never revert it."""
    network.set_state("suva-0", MemberState.LEAVING)
    network.run(3.0)
    for _ in range(60):
        records = [n.table.get("suva-0") for n in network.nodes.values()]
        assert {record.state for record in records} == {MemberState.LEAVING}
        network.run(1.0)


def test_datagram_size_is_bounded():
    """Limit the size of datagrams, even with long names and many updates."""
    network = SimulatedNetwork(1, DatagramFaults(), count_bytes=True)
    for number in range(30):
        network.start(number, "z" * 55)
    network.run(10.0)
    assert MAX_DATAGRAM_BYTES / 2 < network.max_datagram_bytes <= MAX_DATAGRAM_BYTES


def _core_with(peer: Member) -> MembershipCore:
    table = MemberTable(make_member(1))
    core = MembershipCore(table, (), random.Random(1), 0.0)
    core.merge_news((News(peer),), 0.0)
    return core


def test_members_reported_dead_can_refute():
    """Suspect a member that is reported dead; remove one that left at once."""
    peer = make_member(2)
    core = _core_with(peer)
    core.merge_news((News(peer, Health.DEAD),), 1.0)
    assert core.health(peer.node) is Health.SUSPECT
    core.merge_news((News(replace(peer, version=2)),), 2.0)
    assert core.health(peer.node) is Health.ALIVE
    core.merge_news((News(replace(peer, version=3), Health.LEFT),), 3.0)
    assert core.health(peer.node) is Health.LEFT


def test_process_pause_restarts_suspicion_timeouts():
    """Restart the suspicion timeout of a suspect after a process pause."""
    peer = make_member(2)
    core = _core_with(peer)
    now = 0.0
    while core.health(peer.node) is Health.ALIVE:
        now = core.next_tick()
        core.tick(now)
    core.tick(now + 60.0)
    assert core.health(peer.node) is Health.SUSPECT
    while core.next_tick() < now + 70.0:
        core.tick(core.next_tick())
    assert core.health(peer.node) is Health.DEAD


def test_restarts_on_a_large_site_are_known_everywhere_in_time():
    """Tell 200 nodes in 6 zones of 20 servers that leave at once.

    A server that leaves gets no new work after 2 s, and a node spends 3 KB/s on
    control. Bytes between zones are dear: most of them stay within.
    """
    zones = [f"zone-{number}" for number in range(6)]
    network = SimulatedNetwork(1, DatagramFaults(), count_bytes=True)
    names = [network.start(number, zones[number % 6]) for number in range(200)]
    network.introduce_all()
    network.run(1.0)
    for node in network.nodes.values():
        node.sent_bytes = node.sent_between_zones_bytes = 0
    leaving = names[::10]
    for name in leaving:
        network.set_state(name, MemberState.LEAVING)
    network.run(2.0)
    for node in network.nodes.values():
        states = {node.table.get(name).state for name in leaving}
        assert states == {MemberState.LEAVING}
    network.run(6.0)
    sent = sum(node.sent_bytes for node in network.nodes.values())
    between_zones = sum(n.sent_between_zones_bytes for n in network.nodes.values())
    assert sent < len(names) * 3000 * 8
    assert between_zones < sent / 2
