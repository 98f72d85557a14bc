"""Check a network partition between zones with real processes behind relays."""

import math
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import pytest
import trio
from pytest_bdd import given, parsers, scenarios, then, when

from harness.system import System, open_system
from harness.zone_relay import Cuts, ZoneRelay
from persimmonhall.http.messages import HttpRequest
from persimmonhall.ids import ZoneName
from tests.builders import CUE_DOCUMENT
from tests.key_trial import KNOWN_OR_UNKNOWN, Trial
from tests.portal import open_portal

scenarios("features/zone_cut.feature")

SUVA = ZoneName("suva")
NADI = ZoneName("nadi")
HOSTS = {SUVA: "127.0.1.1", NADI: "127.0.2.1"}
NODES = {"nadi-cue-1": NADI, "nadi-cue-2": NADI, "suva-cue-1": SUVA, "suva-cue-2": SUVA}
DOCUMENT = CUE_DOCUMENT.replace("publishing", "operators")
CALLS = 5
SLOTS = 32
KEYS = 6
SLOW_MS, QUICK_MS = 300, 5
GIVE_UP_S = 0.1


@dataclass
class Cluster:
    """Hold a system whose processes communicate through relays."""

    system: System
    cuts: Cuts
    relays: dict[str, ZoneRelay]
    trials: list[Trial] = field(default_factory=list)
    fresh: list[Trial] = field(default_factory=list)

    def make_trials(self, name: str) -> list[Trial]:
        """Make keyed requests that are sent to all nodes."""
        nodes = tuple(NODES)
        keys = [f"{name}-{number}" for number in range(KEYS)]
        return [Trial(self.system, key, nodes, nodes) for key in keys]


@asynccontextmanager
async def open_cluster():
    """Start the control VM in nadi and two nodes in each zone."""
    cuts = Cuts({host: zone for zone, host in HOSTS.items()})
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
        yield Cluster(system, cuts, relays)
        nursery.cancel_scope.cancel()


@pytest.fixture(scope="module")
def running():
    with open_portal(open_cluster) as (portal, cluster):
        yield portal, cluster


@given("two zones with two servers of cue each and the control VM in nadi")
def _(running):
    _, cluster = running
    assert set(cluster.system.nodes) == set(NODES)


@when("suva is partitioned from nadi")
def _(running):
    _, cluster = running
    cluster.cuts.cut(SUVA, NADI)
    cluster.cuts.cut(NADI, SUVA)


async def _heal(cluster: Cluster) -> None:
    cluster.cuts.heal()


@when("the partition heals")
def _(running):
    portal, cluster = running
    portal.run(_heal, cluster)


async def _wait(seconds: float, condition) -> None:
    with trio.fail_after(seconds):
        while not await condition():
            await trio.sleep(0.1)


@then(
    parsers.parse(
        "within {seconds:d} s the nodes of each zone know {count:d} servers of cue"
    )
)
def _(running, seconds, count):
    portal, cluster = running

    async def known() -> bool:
        for node in NODES:
            members = (await cluster.system.status(node))["members"]
            ready = [
                m for m in members if (m["service"], m["state"]) == ("cue", "ready")
            ]
            if len(ready) != count:
                return False
        return True

    portal.run(_wait, seconds, known)


@then("callers of every node get complete answers")
def _(running):
    portal, cluster = running
    request = HttpRequest("GET", "/segments/7", ((b"host", b"cue"),))
    for node in list(NODES) * CALLS:
        answer = portal.run(cluster.system.send, node, request).unwrap()
        assert (answer.status, len(answer.body)) == (200, 200), answer.body


async def _restart(cluster: Cluster, node: str) -> None:
    cluster.system.nodes[node].kill()
    await cluster.system.nodes[node].process.wait()
    await cluster.system.restart_node(node)

    async def has_server() -> bool:
        members = (await cluster.system.status("suva-cue-1"))["members"]
        return sum(m["state"] == "ready" for m in members) == 2

    await _wait(10.0, has_server)


@when("suva-cue-2 is killed and restarted")
def _(running):
    portal, cluster = running
    portal.run(_restart, cluster, "suva-cue-2")


@when("the document of cue changes in nadi")
def _(running):
    portal, cluster = running
    portal.run(cluster.system.put_document, "cue", DOCUMENT + "# changed\n", 1)


@then(parsers.parse("within {seconds:d} s {node} has revision {revision:d} of cue"))
def _(running, seconds, node, revision):
    portal, cluster = running

    async def has_revision() -> bool:
        documents = (await cluster.system.status(node))["documents"]
        return documents.get("cue") == revision

    portal.run(_wait, seconds, has_revision)


@then("suva-cue-1 has revision 1 of cue")
def _(running):
    portal, cluster = running
    status = portal.run(cluster.system.status, "suva-cue-1")
    assert status["documents"] == {"cue": 1}


async def _send_around_cut(cluster: Cluster) -> None:
    """Partition suva while requests run, with and without caller timeout; resend."""
    for node in NODES:
        await cluster.system.behave(node, service_ms=SLOW_MS)
    cluster.trials = cluster.make_trials("sent-before")
    cluster.fresh = cluster.make_trials("sent-in-cut")
    async with trio.open_nursery() as nursery:
        for number, trial in enumerate(cluster.trials):
            nursery.start_soon(_send_once, trial, number % 2 == 0)
        await trio.sleep(GIVE_UP_S)
        cluster.cuts.cut(SUVA, NADI)
        cluster.cuts.cut(NADI, SUVA)
        for trial in (*cluster.trials, *cluster.fresh):
            nursery.start_soon(trial.send_everywhere)
    for node in NODES:
        await cluster.system.behave(node, service_ms=QUICK_MS)


async def _send_once(trial: Trial, leaves: bool) -> None:
    with trio.move_on_after(GIVE_UP_S if leaves else math.inf):
        await trial.send_everywhere()


@when("keyed requests are sent in both zones while suva is partitioned")
def _(running):
    portal, cluster = running
    portal.run(_send_around_cut, cluster)


@then("new keyed requests ran in nadi and were refused as noQuorum, not run, in suva")
def _(running):
    portal, cluster = running
    for trial in cluster.fresh:
        outcomes = {node: portal.run(trial.send, node) for node in NODES}
        assert outcomes == {
            node: "200" if zone == NADI else "noQuorum" for node, zone in NODES.items()
        }
        runs = trial.runs()
        assert runs["nadi-cue-1"] + runs["nadi-cue-2"] == 1
        assert runs["suva-cue-1"] + runs["suva-cue-2"] == 0


async def _settle(trials: list[Trial]) -> None:
    async with trio.open_nursery() as nursery:
        for trial in trials:
            nursery.start_soon(trial.settle)


@then("every keyed request has a final outcome and ran at most once")
def _(running):
    portal, cluster = running
    portal.run(_settle, [*cluster.trials, *cluster.fresh])
    for trial in (*cluster.trials, *cluster.fresh):
        assert set(trial.answers[-len(NODES) :]) <= KNOWN_OR_UNKNOWN, trial.answers
        assert sum(trial.runs().values()) <= 1, trial.answers
