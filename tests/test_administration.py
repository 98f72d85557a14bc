"""Check the operator's command line against running control VMs."""

import json
import subprocess
import sys
from urllib.request import urlopen

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from harness.processes import toml_text
from harness.system import OPERATOR_TOKEN, TEAM_TOKEN, free_address
from tests.builders import CUE_DOCUMENT
from tests.control_cluster import open_control_cluster
from tests.portal import open_portal

scenarios("features/administration.feature")

TOKENS = {
    "publishing": TEAM_TOKEN,
    "operators": OPERATOR_TOKEN,
    "nobody": "no-such-token",
}
DOCUMENTS = {
    "its document": CUE_DOCUMENT,
    "a stolen one": CUE_DOCUMENT.replace('"publishing"', '"operators"'),
    "a taken over one": CUE_DOCUMENT.replace('"publishing"', '"operators"'),
    "an unknown key": CUE_DOCUMENT.replace("\n\n", '\nworthh = "x"\n\n', 1),
}
COMMAND_TIMEOUT_S = 60


@pytest.fixture
def running_cluster():
    with open_portal(open_control_cluster) as (portal, cluster):
        yield portal, cluster


def run_operator(cluster, who: str, *arguments: str) -> subprocess.CompletedProcess:
    """Run persimmonhall with the token of a team."""
    addresses = [str(c.addresses["admin"]) for c in cluster.system.control.values()]
    path = cluster.system.folder / f"operator-{who}.toml"
    path.write_text(
        toml_text({"operator": {"control": addresses, "token": TOKENS[who]}})
    )
    command = [sys.executable, "-m", "persimmonhall.cli.operator", "--settings", path]
    return subprocess.run(
        [*command, *arguments],
        capture_output=True,
        text=True,
        timeout=COMMAND_TIMEOUT_S,
    )


def put_document(cluster, who: str, name: str, revision: int):
    """Put a document of DOCUMENTS with the command line."""
    path = cluster.system.folder / "document.toml"
    path.unlink(missing_ok=True)
    if name in DOCUMENTS:
        path.write_text(DOCUMENTS[name])
    arguments = ("document", "put", str(path), "--revision", str(revision))
    return run_operator(cluster, who, *arguments)


@given("3 control VMs and a document of publishing")
def _(running_cluster):
    portal, cluster = running_cluster
    portal.run(cluster.start, 3)
    assert put_document(cluster, "publishing", "its document", 0).returncode == 0


@when(
    parsers.re(r"(?P<who>\w+) puts (?P<name>.+) with revision (?P<revision>\d+)"),
    converters={"revision": int},
)
def _(running_cluster, context, who, name, revision):
    _, cluster = running_cluster
    context["done"] = put_document(cluster, who, name, revision)


@then(parsers.parse("the command exits with status {status:d} and prints {said}"))
def _(context, status, said):
    done = context["done"]
    assert said in done.stderr
    assert done.returncode == status
    assert done.stderr.count("\n") == 1


@then("the history of cue names publishing for revisions 1 and 2")
def _(running_cluster):
    _, cluster = running_cluster
    done = run_operator(cluster, "publishing", "--json", "document", "history", "cue")
    rows = json.loads(done.stdout)
    told = [(row["revision"], row["author"]) for row in rows]
    assert told == [(1, "publishing"), (2, "publishing")]
    assert all(row["at_ms"] > 0 for row in rows)


@then("status shows 3 control VMs, one leader and the match index of each")
def _(running_cluster):
    _, cluster = running_cluster
    rows = json.loads(run_operator(cluster, "operators", "--json", "status").stdout)
    assert [row["name"] for row in rows] == list(cluster.system.control)
    assert [row["role"] for row in rows].count("leader") == 1
    assert all(row["match"] > 0 for row in rows)
    table = run_operator(cluster, "operators", "status").stdout
    assert f"leader: {cluster.leader}" in table


@then("the metrics of each control VM show its role and its disk syncs")
def _(running_cluster):
    _, cluster = running_cluster
    for name, running in cluster.system.control.items():
        address = running.addresses["admin"]
        with urlopen(
            f"http://{address}/-/metrics", timeout=COMMAND_TIMEOUT_S
        ) as answer:
            assert answer.headers["content-type"].startswith("text/plain")
            page = dict(
                line.rsplit(" ", 1) for line in answer.read().decode().split("\n")[:-1]
            )
        role = "leader" if name == cluster.leader else "follower"
        assert page[f'persimmonhall_role{{role="{role}"}}'] == "1"
        assert page["persimmonhall_documents"] == "1"
        assert int(page["persimmonhall_log_bytes"]) > 0
        assert int(page["persimmonhall_sync_us_count"]) > 0


@when("one follower is killed")
def _(running_cluster, context):
    portal, cluster = running_cluster
    name = next(n for n in cluster.system.control if n != cluster.leader)
    context["killed"] = name
    cluster.system.control[name].kill()
    portal.run(cluster.system.control[name].process.wait)


@then("status shows that it does not answer")
def _(running_cluster, context):
    _, cluster = running_cluster
    address = cluster.system.control[context["killed"]].addresses["admin"]
    table = run_operator(cluster, "operators", "status").stdout
    assert f"{address}: no answer" in table


@then("publishing cannot remove it")
def _(running_cluster, context):
    _, cluster = running_cluster
    done = run_operator(cluster, "publishing", "replica", "remove", context["killed"])
    assert done.returncode == 5
    assert "forbidden" in done.stderr


@then("operators remove it and 2 voters remain")
def _(running_cluster, context):
    portal, cluster = running_cluster
    done = run_operator(cluster, "operators", "replica", "remove", context["killed"])
    assert done.returncode == 0, done.stderr
    portal.run(cluster.system.wait_for_voters, 2)


@when("an empty control VM is started with --bootstrap and the peers")
def _(running_cluster, context):
    _, cluster = running_cluster
    peers = [str(c.addresses["frames"]) for c in cluster.system.control.values()]
    settings = {
        "control": {
            "name": "control-4",
            "zone": "suva",
            "admin": free_address(),
            "frames": free_address(),
            "data_folder": str(cluster.system.folder / "control-4.data"),
            "peers": peers,
        },
        "teams": [{"name": "operators", "token": OPERATOR_TOKEN, "operator": True}],
    }
    path = cluster.system.folder / "control-4.toml"
    path.write_text(toml_text(settings))
    command = [sys.executable, "-m", "persimmonhall.cli.control"]
    command += ["--settings", path, "--bootstrap"]
    context["done"] = subprocess.run(
        command, capture_output=True, text=True, timeout=COMMAND_TIMEOUT_S
    )


@then("it exits with status 1 and an error that names the cluster")
def _(running_cluster, context):
    done = context["done"]
    assert done.returncode == 1
    assert "a peer belongs to cluster" in done.stderr
