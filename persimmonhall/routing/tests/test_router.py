"""Check which servers a router chooses."""

import random
from collections import Counter

import pytest

from persimmonhall.ids import ServiceName, ZoneName
from persimmonhall.membership.messages import MemberState
from persimmonhall.membership.table import MemberTable
from persimmonhall.routing.load import Load
from persimmonhall.routing.router import ChoiceReason, Observation, Router
from persimmonhall.routing.server_view import CallOutcome
from tests.builders import add_members, make_member

CUE = ServiceName("cue")
NORMAL_S = 0.02
STEP_S = 0.005
PATH = "/segments/*"


class Traffic:
    """Simulate a call per step; each ends after the latency of its server."""

    def __init__(self, local=4, remote=0, seed=1):
        self.table = MemberTable(make_member(0, service="", state=MemberState.EMPTY))
        members = [make_member(n + 1) for n in range(local)]
        members += [make_member(n + 101, zone="nadi") for n in range(remote)]
        add_members(self.table, members)
        self.router = Router(self.table, ZoneName("suva"), random.Random(seed))
        self.latency_s = {m.node: NORMAL_S for m in members}
        self.outcome = {m.node: CallOutcome.DONE for m in members}
        self.load = {}
        self.now = 0.0
        self.step_s = STEP_S
        self.chosen = Counter()
        self.reasons = Counter()
        self._open_calls = []

    @property
    def ejected_count(self) -> int:
        """Return how many servers are ejected."""
        return self.router._pools[CUE].ejected_count

    def run(self, steps: int) -> Counter:
        """Run steps and return how many calls each server got."""
        self.chosen = Counter()
        self.reasons = Counter()
        for _ in range(steps):
            self._step()
        return self.chosen

    def _step(self) -> None:
        self.now += self.step_s
        for end in [e for e in self._open_calls if e[0] <= self.now]:
            self._open_calls.remove(end)
            self._end(end)
        choice = self.router.choose(CUE, (), self.now)
        node = choice.member.node
        self.chosen[node] += 1
        self.reasons[choice.reason] += 1
        self._open_calls.append((self.now + self.latency_s[node], self.now, node))

    def _end(self, end) -> None:
        _, start, node = end
        outcome = self.outcome[node]
        load = self.load.get(node)
        seen = Observation(outcome, PATH, self.now - start, load)
        self.router.observe(CUE, node, seen, self.now)


def test_equal_servers_get_equal_shares():
    chosen = Traffic().run(2000)
    assert len(chosen) == 4
    assert max(chosen.values()) < 1.3 * min(chosen.values())


BAD_SERVERS = {
    "slow": (CallOutcome.DONE, 10 * NORMAL_S),
    "unreachable": (CallOutcome.UNREACHABLE, 0.001),
    "losing every call": (CallOutcome.LOST, 0.001),
    "failing at once": (CallOutcome.FAILED, 0.001),
    "stalled": (CallOutcome.TIMED_OUT, 2.0),
    "stalled with callers that cancel early": (CallOutcome.CANCELLED, 0.5),
    "leaving": (CallOutcome.UNAVAILABLE, 0.001),
}


@pytest.mark.parametrize("name", BAD_SERVERS)
def test_bad_server_gets_few_calls_and_recovers(name):
    traffic = Traffic()
    traffic.run(500)
    bad = "suva-cue-2"
    traffic.outcome[bad], traffic.latency_s[bad] = BAD_SERVERS[name]
    traffic.run(400)
    chosen = traffic.run(2000)
    assert chosen[bad] < 0.02 * chosen.total()
    traffic.outcome[bad], traffic.latency_s[bad] = CallOutcome.DONE, NORMAL_S
    traffic.run(8000)
    chosen = traffic.run(2000)
    assert chosen[bad] > 0.15 * chosen.total()


def test_failing_server_is_ejected_before_the_next_outlier_check():
    traffic = Traffic(local=2)
    traffic.step_s = 0.0005
    traffic.latency_s["suva-cue-2"] = 0.001
    traffic.run(4)
    traffic.outcome["suva-cue-2"] = CallOutcome.FAILED
    assert traffic.run(200)["suva-cue-2"] < 20


@pytest.mark.parametrize("seed", range(10))
def test_servers_that_begin_to_fail_together_stay_in_use(seed):
    traffic = Traffic(local=40, seed=seed)
    traffic.run(2000)
    rng = random.Random(seed)
    most_ejected = 0
    for _ in range(400):
        for node in traffic.outcome:
            is_failure = rng.random() < 0.8
            traffic.outcome[node] = (
                CallOutcome.FAILED if is_failure else CallOutcome.DONE
            )
        traffic.run(1)
        most_ejected = max(most_ejected, traffic.ejected_count)
    assert most_ejected <= 5


def test_probes_become_rarer_while_a_server_is_unreachable():
    traffic = Traffic()
    traffic.outcome["suva-cue-2"] = CallOutcome.UNREACHABLE
    early = traffic.run(2000)["suva-cue-2"]
    late = traffic.run(2000)["suva-cue-2"]
    assert 0 < late < early < 10
    assert traffic.reasons[ChoiceReason.PROBE] == late


@pytest.mark.parametrize("outcome", [CallOutcome.UNREACHABLE, CallOutcome.FAILED])
def test_all_bad_servers_are_still_tried(outcome):
    traffic = Traffic()
    for node in traffic.outcome:
        traffic.outcome[node] = outcome
    assert traffic.run(1000).total() == 1000


def test_half_of_the_servers_at_most_are_ejected_as_slow():
    traffic = Traffic(local=6)
    traffic.run(500)
    for number in (1, 2, 3, 4):
        traffic.latency_s[f"suva-cue-{number}"] = 10 * NORMAL_S
    traffic.run(2000)
    pool = traffic.router._pools[CUE]
    assert pool.ejected_count <= 3


def test_new_server_ramps_up():
    traffic = Traffic()
    traffic.run(1000)
    add_members(traffic.table, [make_member(9)])
    traffic.latency_s["suva-cue-9"] = NORMAL_S
    traffic.outcome["suva-cue-9"] = CallOutcome.DONE
    first = traffic.run(200)["suva-cue-9"]
    traffic.run(2000)
    later = traffic.run(200)["suva-cue-9"]
    assert first < 20 < later


def test_leaving_member_is_not_chosen():
    traffic = Traffic(local=2)
    leaving = make_member(1, state=MemberState.LEAVING, version=2)
    add_members(traffic.table, [leaving])
    assert traffic.run(100)["suva-cue-1"] == 0


def test_idle_local_zone_gets_every_call():
    traffic = Traffic(remote=4)
    traffic.run(2000)
    assert set(traffic.reasons) == {ChoiceReason.LOCAL_ZONE}


def _set_load(traffic, zone: str, in_flight: int) -> None:
    for node in traffic.outcome:
        if node in {m.node for m in traffic.table.servers_of(CUE) if m.zone == zone}:
            traffic.load[node] = Load(in_flight, 0, 4, 0)


@pytest.mark.parametrize(
    ("remote_load", "min_share", "max_share"), [(0, 0.2, 0.9), (4, 0, 0.02)]
)
def test_full_local_zone_spills_part_if_another_zone_is_cheaper(
    remote_load, min_share, max_share
):
    traffic = Traffic(remote=4)
    _set_load(traffic, "suva", 4)
    _set_load(traffic, "nadi", remote_load)
    traffic.run(2000)
    share = traffic.reasons[ChoiceReason.SPILL] / 2000
    assert min_share <= share <= max_share


def test_slow_local_zone_spills():
    traffic = Traffic(remote=4)
    traffic.run(1000)
    for number in range(1, 5):
        traffic.latency_s[f"suva-cue-{number}"] = 10 * NORMAL_S
    traffic.run(2000)
    assert traffic.reasons[ChoiceReason.SPILL] > 1000


def test_unreachable_local_zone_gets_no_calls():
    traffic = Traffic(remote=4)
    for number in range(1, 5):
        traffic.outcome[f"suva-cue-{number}"] = CallOutcome.UNREACHABLE
    traffic.run(200)
    traffic.run(1000)
    assert traffic.reasons[ChoiceReason.OTHER_ZONE] > 950


@pytest.mark.parametrize("name", BAD_SERVERS)
def test_bad_server_alone_in_its_zone_gets_few_calls(name):
    traffic = Traffic(local=1, remote=2)
    traffic.run(500)
    bad = "suva-cue-1"
    traffic.outcome[bad], traffic.latency_s[bad] = BAD_SERVERS[name]
    traffic.run(400)
    assert traffic.run(2000)[bad] < 0.15 * 2000


def test_stale_load_expires():
    traffic = Traffic(local=2)
    traffic.load["suva-cue-1"] = Load(40, 40, 4, 0)
    traffic.run(100)
    traffic.load.clear()
    traffic.run(1000)
    assert traffic.run(1000)["suva-cue-1"] > 300


def test_burst_spreads_before_any_answer():
    traffic = Traffic()
    chosen = Counter(
        traffic.router.choose(CUE, (), 0.0).member.node for _ in range(400)
    )
    assert max(chosen.values()) - min(chosen.values()) < 10


def test_excluded_servers_are_not_chosen():
    traffic = Traffic(local=2, remote=1)
    exclude = ["suva-cue-1", "suva-cue-2"]
    assert traffic.router.choose(CUE, exclude, 0.0).member.node == "suva-cue-101"
    exclude.append("suva-cue-101")
    assert traffic.router.choose(CUE, exclude, 0.0) is None


def test_failed_probe_on_an_unknown_path_ejects_the_server():
    """Eject a server after a failed probe on a path without a baseline."""
    traffic = Traffic(local=3)
    traffic.run(20)
    choice = traffic.router.choose(CUE, (), traffic.now)
    node = choice.member.node
    view = traffic.router._pools[CUE].views[node]
    view.is_probing = True
    failed = Observation(CallOutcome.FAILED, "/other", NORMAL_S)
    traffic.router.observe(CUE, node, failed, traffic.now)
    assert view.eject_reason is not None
