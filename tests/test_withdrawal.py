"""Withdraw a key while the leading control VM or a node is frozen, lost or cut off."""

import itertools
import random
import re
from collections import Counter
from typing import NamedTuple

import pytest
import trio

from harness.soak.backends import Backend
from harness.soak.cluster import Cluster, encode_request, exchange, open_starter
from harness.soak.network import NetworkFault
from harness.soak.record import Record
from harness.soak.releases import make_release

WITHDRAWAL_S = 4.0
# Callers go on for this long after the control VM is back.
AFTER_S = 1.0
POLL_S = 0.05
SERVICES = ("maps", "maps", "maps")
# The first node serves its callers alone, so that no call crosses the cut.
SERVICES_OF_CUT = ("maps", "cue", "cue")
LEADER = re.compile(r"role=leader term=(\d+) ")
KEPT, WITHDRAWN = "kept-key", "withdrawn-key"


class Answer(NamedTuple):
    """Hold the answer to one request."""

    id: str
    node: str
    status: int


class Withdrawal:
    """Run control VMs and nodes, and callers with a key that is withdrawn."""

    def __init__(self, cluster, record):
        self.cluster = cluster
        self.entries = [node for node in cluster.nodes if "maps" in node.name]
        self.record = record
        self.answers = {KEPT: [], WITHDRAWN: []}
        self.withdrawn_at = 0.0
        self._numbers = itertools.count(1)

    async def put(self, version, *keys):
        """Put a release until a control VM has accepted it."""
        organisations = [{"name": "museum", "keys": list(keys)}]
        rng = random.Random(version)
        release = make_release(version, version, None, organisations, rng)
        release["base"] = version - 1
        request = encode_request("PUT", "/release", release)
        with trio.fail_after(15):
            while True:
                for vm in self.cluster.control:
                    reply = await exchange(vm.address("releases"), request, 1.0)
                    if reply is not None and reply[0] == 200:
                        return trio.current_time()
                await trio.sleep(POLL_S)

    async def wait_until(self, key, status):
        """Wait until all nodes answer a key with a status."""
        with trio.fail_after(10):
            for node in self.entries:
                while await self._send(node, f"{key}-probe", key) != status:
                    await trio.sleep(POLL_S)

    async def call_forever(self, node, key):
        """Send one request after the other and record the answers."""
        while True:
            request_id = f"{key}-{next(self._numbers)}"
            status = await self._send(node, request_id, key)
            self.answers[key].append(Answer(request_id, node.name, status))
            await trio.sleep(POLL_S)

    def find_leader(self):
        """Return the control VM that became leader last."""
        terms = {}
        for vm in self.cluster.control:
            log = (vm.folder / f"{vm.name}.log").read_text()
            terms[vm.name] = max(map(int, LEADER.findall(log)), default=0)
        return max(self.cluster.control, key=lambda vm: terms[vm.name])

    async def _send(self, node, request_id, key):
        request = (
            "GET /keyed/read/x HTTP/1.1\r\nhost: maps.example\r\n"
            f"persimmonhall-attempt: {request_id}\r\nauthorization: Bearer {key}\r\n"
            "persimmonhall-deadline-ms: 1000\r\n\r\n"
        )
        reply = await exchange(node.address("callers"), request.encode(), 2.0)
        return 0 if reply is None else reply[0]


async def freeze(test, withdraw):
    """Freeze the leader until the withdrawal binds."""
    vm = test.find_leader()
    vm.pause()
    await trio.sleep_until(await withdraw() + WITHDRAWAL_S)
    vm.resume()


async def restart(test, withdraw):
    """Kill the leader and start it again after the withdrawal."""
    vm = test.find_leader()
    await vm.kill()
    withdrawn_at = await withdraw()
    await vm.start()
    await trio.sleep_until(withdrawn_at + WITHDRAWAL_S)


async def cut_off(test, withdraw):
    """Cut off a node, but not its callers, until after the withdrawal binds."""
    cluster = test.cluster
    cluster.network.set_fault(cluster.nodes[0].name, NetworkFault.SILENCE)
    await trio.sleep_until(await withdraw() + WITHDRAWAL_S + AFTER_S)
    cluster.network.set_fault(cluster.nodes[0].name, None)


async def run_fault(folder, inject, services=SERVICES):
    """Withdraw a key beside a fault; return what was seen."""
    record = Record()
    cluster = Cluster(folder, record, await open_starter(""), services)
    for node in cluster.nodes:
        node.settings["organisations"]["withdrawal_s"] = WITHDRAWAL_S
    test = Withdrawal(cluster, record)

    async def withdraw():
        test.withdrawn_at = await test.put(2, KEPT)
        return test.withdrawn_at

    try:
        async with trio.open_nursery() as nursery:
            await cluster.start(nursery)
            for node in cluster.nodes:
                await nursery.start(Backend(node, record, random.Random(0)).run)
            await test.put(1, KEPT, WITHDRAWN)
            await test.wait_until(KEPT, 200)
            for node, key in itertools.product(test.entries, test.answers):
                nursery.start_soon(test.call_forever, node, key)
            await trio.sleep(AFTER_S)
            await inject(test, withdraw)
            await test.wait_until(WITHDRAWN, 401)
            await trio.sleep(AFTER_S)
            cluster.check_processes()
            nursery.cancel_scope.cancel()
    finally:
        cluster.end()
    return test


def assert_binds(test):
    """Assert that the key was served at first, and never after the time allowed."""
    binds_at = test.withdrawn_at + WITHDRAWAL_S
    answers = test.answers[WITHDRAWN]
    served = Counter(answer.node for answer in answers if answer.status == 200)
    assert len(served) == len(test.entries)
    assert min(served.values()) > 0.5 * AFTER_S / POLL_S
    late = [a for a in answers if any(r.at > binds_at for r in test.record.runs[a.id])]
    assert late == []
    assert test.record.violations == []


@pytest.mark.parametrize("inject", [freeze, restart])
def test_withdrawal_binds_and_other_keys_are_served(inject, tmp_path):
    """Lose the leader: one key ends in time, the other is served all the while."""
    test = trio.run(run_fault, tmp_path, inject)
    assert_binds(test)
    assert [a for a in test.answers[KEPT] if a.status != 200] == []


def test_withdrawal_binds_a_node_that_is_cut_off(tmp_path):
    """Stop in time without hearing of it, also for the key that is kept."""
    test = trio.run(run_fault, tmp_path, cut_off, SERVICES_OF_CUT)
    assert_binds(test)
    assert {answer.status for answer in test.answers[KEPT]} == {200, 503}
