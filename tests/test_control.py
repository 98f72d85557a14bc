"""Check control VMs with real processes under failures."""

import resource
import subprocess
import sys

import pytest
import trio
from pytest_bdd import given, parsers, scenarios, then, when
from returns.result import Failure, Success

from persimmonhall.raft.storage import LOG_FILE
from tests.control_scene import make_document, open_scene
from tests.portal import open_portal

scenarios("features/control.feature")

UNLIMITED = (resource.RLIM_INFINITY, resource.RLIM_INFINITY)
STOP_CHANGES = 30


@pytest.fixture
def stage():
    with open_portal(open_scene) as (portal, scene):
        yield portal, scene


def log_of(scene, name: str = "control-1"):
    """Return the log file of a control VM."""
    return scene.system.folder / f"{name}.data" / LOG_FILE


@given(parsers.parse("{vms:d} control VMs and {changes:d} accepted changes"))
def _(stage, vms, changes):
    portal, scene = stage
    portal.run(scene.start, vms)
    portal.run(scene.change, changes)


@when(parsers.parse("the leader is stopped with SIGTERM while changes are sent"))
def _(stage, context):
    portal, scene = stage
    portal.run(_stop_under_changes, scene, context)


async def _stop_under_changes(scene, context) -> None:
    failures = context["failures"] = []
    started = trio.Event()

    async def send() -> None:
        for number in range(STOP_CHANGES):
            result = await scene.system.admin.put(
                f"x{number}", make_document(f"x{number}"), 0, f"x{number}"
            )
            started.set()
            if isinstance(result, Failure):
                failures.append(result.failure())
            else:
                scene.accepted[f"x{number}"] = 1

    async with trio.open_nursery() as nursery:
        nursery.start_soon(send)
        await started.wait()
        context["status"] = await scene.system.control[scene.leader].terminate()


@then("no change failed and the exit status is 0")
def _(context):
    assert context["failures"] == []
    assert context["status"] == 0


@then("every running control VM has exactly the accepted changes")
@then("every other control VM has exactly the accepted changes")
def _(stage):
    portal, scene = stage
    names = [n for n in scene.system.control if n != scene.leader]
    portal.run(scene.wait_for_all_accepted, *names)


@when(parsers.re("the leader is (?P<fault>killed|frozen|cut off.*)$"))
def _(stage, context, fault):
    portal, scene = stage
    scene.leader = portal.run(scene.system.wait_for_leader)
    context["fault"] = fault
    portal.run(scene.break_leader, fault)


@given("a node that gets its documents from the leader")
def _(stage):
    portal, scene = stage
    leader = scene.system.control.pop(scene.leader)
    scene.system.control = {scene.leader: leader, **scene.system.control}
    portal.run(scene.system.start_node, "suva-cue-1", "suva")
    portal.run(scene.wait_for_node)


@then("the accepted changes are active on the node")
def _(stage):
    portal, scene = stage
    portal.run(scene.wait_for_node)


@when("both followers are killed")
def _(stage):
    portal, scene = stage
    for name, running in scene.system.control.items():
        if name != scene.leader:
            running.kill()


@when("the fault ends")
def _(stage, context):
    portal, scene = stage
    portal.run(scene.mend, context["fault"])


@then("another control VM becomes the leader")
def _(stage):
    portal, scene = stage
    portal.run(scene.system.wait_for_leader, scene.leader)


@then(parsers.parse("{count:d} more changes are accepted"))
def _(stage, count):
    portal, scene = stage
    portal.run(scene.change, count)


@then("every control VM has exactly the accepted changes")
def _(stage):
    portal, scene = stage
    portal.run(scene.wait_for_all_accepted)


@then(parsers.parse("a change sent to the old leader is refused with {kind}"))
def _(stage, kind):
    portal, scene = stage
    result = portal.run(scene.put_at, scene.leader, "s0", 999, "refused")
    assert result.failure().kind.value == kind


@then(parsers.parse("a read at the old leader is refused with {kind}"))
def _(stage, kind):
    portal, scene = stage
    result = portal.run(scene.client(scene.leader).get, "/documents")
    assert result.failure().kind.value == kind


@when(parsers.re(r"(?P<name>control-\d) loses its data folder(?P<after>.*)"))
def _(stage, context, name, after):
    portal, scene = stage
    if after:
        portal.run(scene.mend, context["fault"])
        portal.run(scene.wait_for_all_accepted)
    context["old_id"] = portal.run(scene.disk_ids)[name]
    portal.run(scene.lose_disk, name)


@then(parsers.re(r"(?P<name>control-\d) votes with a new disk id"))
def _(stage, context, name):
    portal, scene = stage

    async def votes() -> bool:
        ids = await scene.disk_ids()
        return len(ids) == 3 and ids[name] != context["old_id"]

    portal.run(scene.system.wait_until, votes, f"{name} votes again")


@when("all control VMs are killed and started again")
def _(stage):
    portal, scene = stage
    for running in scene.system.control.values():
        running.kill()
        portal.run(running.process.wait)
    for name in scene.system.control:
        portal.run(scene.system.restart_control, name)


@then("the first change gets its original answer when it is resent")
def _(stage):
    portal, scene = stage
    result = portal.run(scene.put_at, "control-2", "s0", 0, "s0-0")
    assert result == Success({"service": "s0", "revision": 1})


@when("operators send changes with the same revision to all control VMs at once")
def _(stage, context):
    portal, scene = stage

    async def race() -> list:
        results = []

        async def put(name: str) -> None:
            revision = scene.accepted["s1"]
            results.append(await scene.put_at(name, "s1", revision, f"race-{name}"))

        async with trio.open_nursery() as nursery:
            for name in scene.system.control:
                nursery.start_soon(put, name)
        return results

    context["results"] = portal.run(race)
    scene.accepted["s1"] += 1


@then("one change is accepted and the others are refused with revisionConflict")
def _(stage, context):
    accepted = [r for r in context["results"] if isinstance(r, Success)]
    refused = [r.failure() for r in context["results"] if isinstance(r, Failure)]
    assert len(accepted) == 1
    assert [r.kind.value for r in refused] == ["revisionConflict"] * 2
    assert all("by 'operators'" in r.detail for r in refused)


@when("a change is accepted and then another one")
def _(stage, context):
    portal, scene = stage
    revision = scene.accepted["s1"]
    context["change"] = (revision, "lost-answer")
    context["first"] = portal.run(scene.put_at, scene.leader, "s1", *context["change"])
    scene.accepted["s1"] += 1
    portal.run(scene.put, "s1", revision + 1)


@then("the resent change gets its original answer")
def _(stage, context):
    portal, scene = stage
    survivor = next(n for n in scene.system.control if n != scene.leader)
    again = portal.run(scene.put_at, survivor, "s1", *context["change"])
    assert again == context["first"]
    assert isinstance(again, Success)


@when("the disk of the leader is full")
def _(stage):
    portal, scene = stage
    scene.leader = portal.run(scene.system.wait_for_leader)
    _fill_disk(scene, scene.leader)


def _fill_disk(scene, name: str) -> None:
    pid = scene.system.control[name].process.pid
    size = log_of(scene, name).stat().st_size
    resource.prlimit(pid, resource.RLIMIT_FSIZE, (size, resource.RLIM_INFINITY))


@when("the disk of control-1 is full")
def _(stage):
    portal, scene = stage
    _fill_disk(scene, "control-1")
    portal.run(scene.put_at, "control-1", "s2", scene.accepted["s2"], "in-flight")


@when("the disk has space again")
def _(stage):
    portal, scene = stage
    pid = scene.system.control["control-1"].process.pid
    resource.prlimit(pid, resource.RLIMIT_FSIZE, UNLIMITED)

    async def resent_is_accepted() -> bool:
        revision = scene.accepted["s2"]
        result = await scene.put_at("control-1", "s2", revision, "in-flight")
        return isinstance(result, Success)

    portal.run(scene.system.wait_until, resent_is_accepted, "space")
    scene.accepted["s2"] += 1


@when(parsers.parse("control-1 is killed and {damage}"))
def _(stage, damage):
    portal, scene = stage
    running = scene.system.control["control-1"]
    running.kill()
    portal.run(running.process.wait)
    data = log_of(scene).read_bytes()
    if damage == "half a record is appended to its log":
        log_of(scene).write_bytes(data + data[:40])
        portal.run(scene.system.restart_control, "control-1")
    else:
        middle = len(data) // 2
        changed = bytes([data[middle] ^ 0xFF])
        log_of(scene).write_bytes(data[:middle] + changed + data[middle + 1 :])


@then("it exits with status 1 at startup and names the file and the offset")
def _(stage):
    _, scene = stage
    running = scene.system.control["control-1"]
    command = [sys.executable, "-m", running.module, "--settings", running.settings]
    done = subprocess.run(command, capture_output=True, text=True, timeout=30)
    assert done.returncode == 1
    assert f"{log_of(scene)}: damaged record at offset" in done.stderr
