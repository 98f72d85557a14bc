"""Check control VMs with real processes under failures."""

import resource
import subprocess
import sys
from functools import partial

import pytest
import trio
from pytest_bdd import given, parsers, scenarios, then, when
from returns.result import Failure, Success

from persimmonhall.raft.storage import LOG_FILE
from tests.control_cluster import make_document, open_control_cluster
from tests.portal import open_portal

scenarios("features/control.feature")

UNLIMITED = (resource.RLIM_INFINITY, resource.RLIM_INFINITY)
CHANGES_DURING_STOP = 30


@pytest.fixture
def running_cluster():
    with open_portal(open_control_cluster) as (portal, cluster):
        yield portal, cluster


def log_path(cluster, name: str = "control-1"):
    """Return the log file of a control VM."""
    return cluster.system.folder / f"{name}.data" / LOG_FILE


@given(parsers.parse("{vms:d} control VMs and {changes:d} accepted changes"))
def _(running_cluster, vms, changes):
    portal, cluster = running_cluster
    portal.run(cluster.start, vms)
    portal.run(cluster.put_changes, changes)


@when(parsers.parse("the leader is stopped with SIGTERM while changes are sent"))
def _(running_cluster, context):
    portal, cluster = running_cluster
    portal.run(_stop_leader_during_changes, cluster, context)


async def _stop_leader_during_changes(cluster, context) -> None:
    failures = context["failures"] = []
    started = trio.Event()

    async def send() -> None:
        for number in range(CHANGES_DURING_STOP):
            result = await cluster.system.admin.put_document(
                f"x{number}", make_document(f"x{number}"), 0, f"x{number}"
            )
            started.set()
            if isinstance(result, Failure):
                failures.append(result.failure())
            else:
                cluster.accepted_revisions[f"x{number}"] = 1

    async with trio.open_nursery() as nursery:
        nursery.start_soon(send)
        await started.wait()
        context["status"] = await cluster.system.control[cluster.leader].terminate()


@then("no change failed and the exit status is 0")
def _(context):
    assert context["failures"] == []
    assert context["status"] == 0


@then("every running control VM has exactly the accepted changes")
@then("every other control VM has exactly the accepted changes")
def _(running_cluster):
    portal, cluster = running_cluster
    names = [n for n in cluster.system.control if n != cluster.leader]
    portal.run(cluster.wait_for_accepted_revisions, *names)


@when(parsers.re("the leader is (?P<fault>killed|frozen|cut off.*)$"))
def _(running_cluster, context, fault):
    portal, cluster = running_cluster
    cluster.leader = portal.run(cluster.system.wait_for_leader)
    context["fault"] = fault
    portal.run(cluster.inject_leader_fault, fault)


@given("a node that gets its documents from the leader")
def _(running_cluster):
    portal, cluster = running_cluster
    leader = cluster.system.control.pop(cluster.leader)
    cluster.system.control = {cluster.leader: leader, **cluster.system.control}
    portal.run(cluster.system.start_node, "suva-cue-1", "suva")
    portal.run(cluster.wait_until_active_on_node)


@then("the accepted changes are active on the node")
def _(running_cluster):
    portal, cluster = running_cluster
    portal.run(cluster.wait_until_active_on_node)


@when("both followers are killed")
def _(running_cluster):
    portal, cluster = running_cluster
    for name, running in cluster.system.control.items():
        if name != cluster.leader:
            running.kill()


@when("the fault ends")
def _(running_cluster, context):
    portal, cluster = running_cluster
    portal.run(cluster.end_leader_fault, context["fault"])


@then("another control VM becomes the leader")
def _(running_cluster):
    portal, cluster = running_cluster
    portal.run(cluster.system.wait_for_leader, cluster.leader)


@then(parsers.parse("{count:d} more changes are accepted"))
def _(running_cluster, count):
    portal, cluster = running_cluster
    portal.run(cluster.put_changes, count)


@then("every control VM has exactly the accepted changes")
def _(running_cluster):
    portal, cluster = running_cluster
    portal.run(cluster.wait_for_accepted_revisions)


@then(parsers.parse("a change sent to the old leader is refused with {kind}"))
def _(running_cluster, kind):
    portal, cluster = running_cluster
    result = portal.run(cluster.put_at, cluster.leader, "s0", 999, "refused")
    assert result.failure().kind.value == kind


@then(parsers.parse("a read at the old leader is refused with {kind}"))
def _(running_cluster, kind):
    portal, cluster = running_cluster
    result = portal.run(cluster.client(cluster.leader).get, "/documents")
    assert result.failure().kind.value == kind


@when(parsers.re(r"(?P<name>control-\d) loses its data folder(?P<after>.*)"))
def _(running_cluster, context, name, after):
    portal, cluster = running_cluster
    if after:
        portal.run(cluster.end_leader_fault, context["fault"])
        portal.run(cluster.wait_for_accepted_revisions)
    context["old_id"] = portal.run(cluster.disk_ids)[name]
    portal.run(cluster.restart_with_empty_disk, name)


@given(parsers.parse("every control VM is read every {ms:d} ms"))
def _(running_cluster, ms):
    """Guard against reads that put off the promotion of a replica with a new disk."""
    portal, cluster = running_cluster
    for name in cluster.system.control:
        read = partial(_read_forever, cluster, name, ms / 1000)
        portal.run(cluster.system.start_task, read)


async def _read_forever(cluster, name: str, interval_s: float) -> None:
    while True:
        await cluster.client(name).get("/documents")
        await trio.sleep(interval_s)


@then(parsers.re(r"(?P<name>control-\d) votes with a new disk id"))
def _(running_cluster, context, name):
    portal, cluster = running_cluster

    async def votes() -> bool:
        ids = await cluster.disk_ids()
        return len(ids) == 3 and ids[name] != context["old_id"]

    portal.run(cluster.system.wait_until, votes, f"{name} votes again")


@when("all control VMs are killed and started again")
def _(running_cluster):
    portal, cluster = running_cluster
    for running in cluster.system.control.values():
        running.kill()
        portal.run(running.process.wait)
    for name in cluster.system.control:
        portal.run(cluster.system.restart_control, name)


@then("the first change gets its original answer when it is resent")
def _(running_cluster):
    portal, cluster = running_cluster
    result = portal.run(cluster.put_at, "control-2", "s0", 0, "s0-0")
    assert result == Success({"service": "s0", "revision": 1})


@when("operators send changes with the same revision to all control VMs at once")
def _(running_cluster, context):
    portal, cluster = running_cluster

    async def race() -> list:
        results = []

        async def put(name: str) -> None:
            revision = cluster.accepted_revisions["s1"]
            results.append(await cluster.put_at(name, "s1", revision, f"race-{name}"))

        async with trio.open_nursery() as nursery:
            for name in cluster.system.control:
                nursery.start_soon(put, name)
        return results

    context["results"] = portal.run(race)
    cluster.accepted_revisions["s1"] += 1


@then("one change is accepted and the others are refused with revisionConflict")
def _(running_cluster, context):
    accepted = [r for r in context["results"] if isinstance(r, Success)]
    refused = [r.failure() for r in context["results"] if isinstance(r, Failure)]
    assert len(accepted) == 1
    assert [r.kind.value for r in refused] == ["revisionConflict"] * 2
    assert all("by 'operators'" in r.detail for r in refused)


@when("a change is accepted and then another one")
def _(running_cluster, context):
    portal, cluster = running_cluster
    revision = cluster.accepted_revisions["s1"]
    context["change"] = (revision, "lost-answer")
    context["first"] = portal.run(
        cluster.put_at, cluster.leader, "s1", *context["change"]
    )
    cluster.accepted_revisions["s1"] += 1
    portal.run(cluster.put, "s1", revision + 1)


@then("the resent change gets its original answer")
def _(running_cluster, context):
    portal, cluster = running_cluster
    survivor = next(n for n in cluster.system.control if n != cluster.leader)
    again = portal.run(cluster.put_at, survivor, "s1", *context["change"])
    assert again == context["first"]
    assert isinstance(again, Success)


@when("the disk of the leader is full")
def _(running_cluster):
    portal, cluster = running_cluster
    cluster.leader = portal.run(cluster.system.wait_for_leader)
    _fill_disk(cluster, cluster.leader)


def _fill_disk(cluster, name: str) -> None:
    pid = cluster.system.control[name].process.pid
    size = log_path(cluster, name).stat().st_size
    resource.prlimit(pid, resource.RLIMIT_FSIZE, (size, resource.RLIM_INFINITY))


@when("the disk of control-1 is full")
def _(running_cluster):
    portal, cluster = running_cluster
    _fill_disk(cluster, "control-1")
    portal.run(
        cluster.put_at, "control-1", "s2", cluster.accepted_revisions["s2"], "in-flight"
    )


@when("the disk has space again")
def _(running_cluster):
    portal, cluster = running_cluster
    pid = cluster.system.control["control-1"].process.pid
    resource.prlimit(pid, resource.RLIMIT_FSIZE, UNLIMITED)

    async def resent_is_accepted() -> bool:
        revision = cluster.accepted_revisions["s2"]
        result = await cluster.put_at("control-1", "s2", revision, "in-flight")
        return isinstance(result, Success)

    portal.run(cluster.system.wait_until, resent_is_accepted, "space")
    cluster.accepted_revisions["s2"] += 1


@when(parsers.parse("control-1 is killed and {damage}"))
def _(running_cluster, damage):
    portal, cluster = running_cluster
    running = cluster.system.control["control-1"]
    running.kill()
    portal.run(running.process.wait)
    data = log_path(cluster).read_bytes()
    if damage == "half a record is appended to its log":
        log_path(cluster).write_bytes(data + data[:40])
        portal.run(cluster.system.restart_control, "control-1")
    else:
        middle = len(data) // 2
        changed = bytes([data[middle] ^ 0xFF])
        log_path(cluster).write_bytes(data[:middle] + changed + data[middle + 1 :])


@then("it exits with status 1 at startup and names the file and the offset")
def _(running_cluster):
    _, cluster = running_cluster
    running = cluster.system.control["control-1"]
    command = [
        sys.executable,
        "-m",
        running.module,
        "--settings",
        running.settings_path,
    ]
    done = subprocess.run(command, capture_output=True, text=True, timeout=30)
    assert done.returncode == 1
    assert f"{log_path(cluster)}: damaged record at offset" in done.stderr
