"""Check a network partition between zones with real processes behind relays."""

import math
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import pytest
import trio
from pytest_bdd import given, parsers, scenarios, then, when

from harness.system import System, open_system
from harness.zone_relay import ZoneCuts, ZoneRelay
from persimmonhall.http.messages import HttpRequest
from persimmonhall.ids import ZoneName
from tests.builders import CUE_DOCUMENT
from tests.keyed_request import FINAL_OUTCOMES, KeyedRequest
from tests.portal import open_portal

scenarios("features/zone_partition.feature")

SUVA = ZoneName("suva")
NADI = ZoneName("nadi")
HOSTS = {SUVA: "127.0.1.1", NADI: "127.0.2.1"}
NODES = {"nadi-cue-1": NADI, "nadi-cue-2": NADI, "suva-cue-1": SUVA, "suva-cue-2": SUVA}
DOCUMENT = CUE_DOCUMENT.replace("publishing", "operators")
CALLS_PER_NODE = 5
SLOTS = 32
KEY_COUNT = 6
SLOW_SERVICE_MS, FAST_SERVICE_MS = 300, 5
CALLER_TIMEOUT_S = 0.1


@dataclass
class ZonedCluster:
    """Hold a system whose processes communicate through relays."""

    system: System
    cuts: ZoneCuts
    relays: dict[str, ZoneRelay]
    keyed_requests: list[KeyedRequest] = field(default_factory=list)
    new_keyed_requests: list[KeyedRequest] = field(default_factory=list)

    def make_keyed_requests(self, name: str) -> list[KeyedRequest]:
        """Make keyed requests that are sent to all nodes."""
        nodes = tuple(NODES)
        keys = [f"{name}-{number}" for number in range(KEY_COUNT)]
        return [KeyedRequest(self.system, key, nodes, nodes) for key in keys]


@asynccontextmanager
async def open_cluster():
    """Start the control VM in nadi and two nodes in each zone."""
    cuts = ZoneCuts({host: zone for zone, host in HOSTS.items()})
    async with open_system() as system, trio.open_nursery() as nursery:
        names = {"control-1": NADI, **NODES}
        relays = {
            name: await nursery.start(ZoneRelay(cuts, zone).run)
            for name, zone in names.items()
        }
        await system.start_control()
        relays["control-1"].target = system.control["control-1"].addresses["frames"]
        for node, zone in NODES.items():
            await system.start_node(
                node,
                zone,
                control=(relays["control-1"].address,),
                seeds=(relays["nadi-cue-1"].address, relays["suva-cue-1"].address),
                frames=f"{HOSTS[zone]}:0",
                advertise=str(relays[node].address),
            )
            relays[node].target = system.nodes[node].addresses["frames"]
            run_log = str(system.folder / f"{node}.runs")
            await system.start_backend(node, "cue", run_log=run_log, slots=SLOTS)
        await system.put_document("cue", DOCUMENT)
        await system.wait_for_document("cue", 1)
        await system.wait_for_members("cue", len(NODES))
        yield ZonedCluster(system, cuts, relays)
        nursery.cancel_scope.cancel()


@pytest.fixture(scope="module")
def running_cluster():
    with open_portal(open_cluster) as (portal, cluster):
        yield portal, cluster


@given("two zones with two servers of cue each and the control VM in nadi")
def _(running_cluster):
    _, cluster = running_cluster
    assert set(cluster.system.nodes) == set(NODES)


@when("suva is partitioned from nadi")
def _(running_cluster):
    _, cluster = running_cluster
    cluster.cuts.cut(SUVA, NADI)
    cluster.cuts.cut(NADI, SUVA)


async def _heal_partition(cluster: ZonedCluster) -> None:
    cluster.cuts.end_cuts()


@when("the partition heals")
def _(running_cluster):
    portal, cluster = running_cluster
    portal.run(_heal_partition, cluster)


async def _wait_until(seconds: float, condition) -> None:
    with trio.fail_after(seconds):
        while not await condition():
            await trio.sleep(0.1)


@then(
    parsers.parse(
        "within {seconds:d} s the nodes of each zone know {count:d} servers of cue"
    )
)
def _(running_cluster, seconds, count):
    portal, cluster = running_cluster

    async def known() -> bool:
        for node in NODES:
            members = (await cluster.system.status(node))["members"]
            ready = [
                m for m in members if (m["service"], m["state"]) == ("cue", "ready")
            ]
            if len(ready) != count:
                return False
        return True

    portal.run(_wait_until, seconds, known)


@then("callers of every node get complete answers")
def _(running_cluster):
    portal, cluster = running_cluster
    request = HttpRequest("GET", "/segments/7", ((b"host", b"cue"),))
    for node in list(NODES) * CALLS_PER_NODE:
        answer = portal.run(cluster.system.send, node, request).unwrap()
        assert (answer.status, len(answer.body)) == (200, 200), answer.body


async def _restart(cluster: ZonedCluster, node: str) -> None:
    cluster.system.nodes[node].kill()
    await cluster.system.nodes[node].process.wait()
    await cluster.system.restart_node(node)

    async def has_server() -> bool:
        members = (await cluster.system.status("suva-cue-1"))["members"]
        return sum(m["state"] == "ready" for m in members) == 2

    await _wait_until(10.0, has_server)


@when("suva-cue-2 is killed and restarted")
def _(running_cluster):
    portal, cluster = running_cluster
    portal.run(_restart, cluster, "suva-cue-2")


@when("the document of cue changes in nadi")
def _(running_cluster):
    portal, cluster = running_cluster
    portal.run(cluster.system.put_document, "cue", DOCUMENT + "# changed\n", 1)


@then(parsers.parse("within {seconds:d} s {node} has revision {revision:d} of cue"))
def _(running_cluster, seconds, node, revision):
    portal, cluster = running_cluster

    async def has_revision() -> bool:
        documents = (await cluster.system.status(node))["documents"]
        return documents.get("cue") == revision

    portal.run(_wait_until, seconds, has_revision)


@then("suva-cue-1 has revision 1 of cue")
def _(running_cluster):
    portal, cluster = running_cluster
    status = portal.run(cluster.system.status, "suva-cue-1")
    assert status["documents"] == {"cue": 1}


async def _send_around_partition(cluster: ZonedCluster) -> None:
    """Partition suva while requests run, with and without caller timeout; resend."""
    for node in NODES:
        await cluster.system.set_behaviour(node, service_ms=SLOW_SERVICE_MS)
    cluster.keyed_requests = cluster.make_keyed_requests("sent-before")
    cluster.new_keyed_requests = cluster.make_keyed_requests("sent-in-cut")
    async with trio.open_nursery() as nursery:
        for number, keyed_request in enumerate(cluster.keyed_requests):
            nursery.start_soon(_send_once, keyed_request, number % 2 == 0)
        await trio.sleep(CALLER_TIMEOUT_S)
        cluster.cuts.cut(SUVA, NADI)
        cluster.cuts.cut(NADI, SUVA)
        for keyed_request in (*cluster.keyed_requests, *cluster.new_keyed_requests):
            nursery.start_soon(keyed_request.send_to_all_nodes)
    for node in NODES:
        await cluster.system.set_behaviour(node, service_ms=FAST_SERVICE_MS)


async def _send_once(keyed_request: KeyedRequest, has_timeout: bool) -> None:
    with trio.move_on_after(CALLER_TIMEOUT_S if has_timeout else math.inf):
        await keyed_request.send_to_all_nodes()


@when("keyed requests are sent in both zones while suva is partitioned")
def _(running_cluster):
    portal, cluster = running_cluster
    portal.run(_send_around_partition, cluster)


@then("new keyed requests ran in nadi and were refused as noQuorum, not run, in suva")
def _(running_cluster):
    portal, cluster = running_cluster
    for keyed_request in cluster.new_keyed_requests:
        outcomes = {node: portal.run(keyed_request.send, node) for node in NODES}
        assert outcomes == {
            node: "200" if zone == NADI else "noQuorum" for node, zone in NODES.items()
        }
        runs = keyed_request.count_runs()
        assert runs["nadi-cue-1"] + runs["nadi-cue-2"] == 1
        assert runs["suva-cue-1"] + runs["suva-cue-2"] == 0


async def _wait_for_final_outcomes(keyed_requests: list[KeyedRequest]) -> None:
    async with trio.open_nursery() as nursery:
        for keyed_request in keyed_requests:
            nursery.start_soon(keyed_request.wait_for_final_outcome)


@then("every keyed request has a final outcome and ran at most once")
def _(running_cluster):
    portal, cluster = running_cluster
    portal.run(
        _wait_for_final_outcomes, [*cluster.keyed_requests, *cluster.new_keyed_requests]
    )
    for keyed_request in (*cluster.keyed_requests, *cluster.new_keyed_requests):
        assert set(keyed_request.answers[-len(NODES) :]) <= FINAL_OUTCOMES, (
            keyed_request.answers
        )
        assert sum(keyed_request.count_runs().values()) <= 1, keyed_request.answers
