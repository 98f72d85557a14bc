"""Check that an odd entry of another writer costs only itself."""

import json
import random
import struct
from dataclasses import replace

import pytest
import trio

from persimmonhall.address import Address
from persimmonhall.membership.backend_watch import parse_announcement
from persimmonhall.membership.core import MembershipCore
from persimmonhall.membership.messages import SYNC_REQUESTS, News, PushNews
from persimmonhall.membership.table import MemberTable
from persimmonhall.platform.settings import read_node_settings
from persimmonhall.platform.tests.test_settings import NODE
from tests.builders import make_member
from tests.test_routed_path import (
    RoutedNodesFixture,
    encode_request,
    make_release,
    send_request,
)

DEEP = "[" * 100_000
LARGE = "1" + "0" * 30
TOO_LARGE_FOR_A_FLOAT = "1" + "0" * 400
NUMBERS = (LARGE, TOO_LARGE_FOR_A_FLOAT, "9223372036854775808", "1e400", "-1", DEEP)
ODD_VALUES = {
    "slots": (*NUMBERS, "1000000000000", "4294967296", "0"),
    "born_ms": NUMBERS,
    "sequence": NUMBERS,
    "warm_up_ms": ("1e400", DEEP),
    "address": ('"127.0.0.1:65536"', '"127.0.0.1:0"', f'"127.0.0.1:{LARGE}"', DEEP),
    "state": ('"gone"', DEEP),
    "instance": ("7", '""', '"\\ud800"', '"i\\r\\nx: 1"', '"' + "i" * 300 + '"'),
}
ODD_REPORTS = [(key, value) for key, values in ODD_VALUES.items() for value in values]


def encode_fields(**fields):
    """Encode an object whose values are JSON texts."""
    pairs = (f'"{name}": {value}' for name, value in fields.items())
    return ("{" + ", ".join(pairs) + "}").encode()


# A report of 10^12 slots ended the node: no message could hold its member record.
async def test_odd_report_is_refused_and_the_server_stays_in_use(tmp_path, nursery):
    """Refuse each odd report and believe the next sound one."""
    nodes = RoutedNodesFixture(tmp_path, nursery)
    await nodes.start()
    with trio.fail_after(8):
        while await nodes.put(make_release()) != 200:
            await trio.sleep(0.1)
    await nodes.report(sequence=1)
    await nodes.get_until_status(200)
    gate = nodes.nodes[1]
    sound = {
        "instance": '"i-1"',
        "born_ms": "1",
        "sequence": "99",
        "service": '"maps"',
        "address": json.dumps(str(gate.settings.releases.backend)),
        "slots": "4",
        "state": '"ready"',
        "warm_up_ms": "0",
    }
    accepted = []
    for key, value in ODD_REPORTS:
        body = encode_fields(**sound | {key: value})
        data = encode_request("POST", "/-/instances", body=body)
        status = (await send_request(gate.settings.node.local, data))[0]
        if status != 400:
            accepted.append((key, value[:30], status))
    assert accepted == []
    # Longer than a round of gossip, which would end the node.
    await trio.sleep(0.5)
    assert await nodes.report(sequence=2, state="draining") == 200
    with trio.fail_after(2):
        while (await nodes.get(attempt="a2"))[0] != 503:
            await trio.sleep(0.05)


@pytest.mark.parametrize("value", ODD_VALUES["slots"])
def test_odd_announcement_of_the_documents_path_is_refused(value):
    """Refuse it with an error in place of an exception."""
    fields = {"service": '"maps"', "address": '"127.0.0.1:9"', "connections": "4"}
    result = parse_announcement(encode_fields(**fields, slots=value))
    assert "announcement" in result.failure().detail


def test_record_that_no_message_can_hold_is_not_adopted():
    """Keep the record before, so that the node goes on to gossip."""
    own = make_member(1)
    core = MembershipCore(MemberTable(own), (), random.Random(1), 0.0)
    with pytest.raises(struct.error):
        core.update_local_member(replace(own, slots=10**12))
    [news] = core.news
    assert news.member == own


def test_unreadable_record_costs_no_other_of_its_list():
    """Read the records before and after it."""
    sound = (News(make_member(1)), News(make_member(2)))
    data = SYNC_REQUESTS.encode(PushNews((sound[0], News(make_member(3)), sound[1])))
    odd = data.replace(b"127.0.0.1:7003", b"127.0.0.1:70x3")
    assert SYNC_REQUESTS.decode(odd).news == sound


@pytest.mark.parametrize(
    ("content", "reason"),
    [(DEEP, "recursion"), ('{"nodeName": "n", "bounds": 1e400}', "missing key")],
)
def test_unreadable_settings_give_an_error(tmp_path, content, reason):
    """Report it in one line; a node that runs keeps its settings."""
    path = tmp_path / "settings.json"
    path.write_text(content)
    assert reason in read_node_settings(path).failure()


@pytest.mark.parametrize("odd", ["10.1.0.9:99999", "x" * 99, None, ["10.1.0.9:1"]])
def test_odd_seed_costs_no_other(tmp_path, odd):
    """Use the seeds that can be read; fail only if none can."""
    path = tmp_path / "settings.json"
    fields = NODE | {"seedNodes": ["10.1.0.13:8306", odd, "10.2.0.12:8306"]}
    path.write_text(json.dumps(fields))
    settings = read_node_settings(path).unwrap()
    assert settings.peers.control == (
        Address("10.1.0.13", 8306),
        Address("10.2.0.12", 8306),
    )
    path.write_text(json.dumps(NODE | {"seedNodes": [odd]}))
    read_node_settings(path).failure()
