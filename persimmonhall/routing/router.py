"""Choose the server of a call by the outcomes and load of earlier calls."""

import random
from collections.abc import Collection, Iterator
from enum import Enum
from typing import NamedTuple

from persimmonhall.call.messages import Load
from persimmonhall.ids import NodeName, ServiceName, ZoneName
from persimmonhall.membership.messages import Member
from persimmonhall.membership.table import MemberTable
from persimmonhall.routing.pool import Pool, is_usable
from persimmonhall.routing.views import (
    CallOutcome,
    EjectReason,
    ServerView,
    Usability,
)

CHOICES = 2
MAX_DRAWS = 8
FULL_USAGE = 0.8
SPILL_SLOWNESS = 2.0
SPILL_GAIN = 1.5
MAX_STRIKES = 2
SLOW_PROBE_FACTOR = 3.0
PROBE_PATIENCE_S = 5.0

STRIKES = {
    CallOutcome.LOST: EjectReason.LOST,
    CallOutcome.TIMED_OUT: EjectReason.STALLED,
    CallOutcome.CANCELLED: EjectReason.STALLED,
}
CERTAIN = {
    CallOutcome.UNREACHABLE: EjectReason.UNREACHABLE,
    CallOutcome.TURNED_AWAY: EjectReason.TURNED_AWAY,
}
WAITS = frozenset({CallOutcome.TIMED_OUT, CallOutcome.CANCELLED})
FAILURES = WAITS | {CallOutcome.FAILED, CallOutcome.LOST}


class ChoiceReason(Enum):
    """Classify why a server was chosen."""

    OWN_ZONE = "own-zone"
    OTHER_ZONE = "other-zone"
    SPILL = "spill"
    PROBE = "probe"
    ALL_EJECTED = "all-ejected"
    SUSPECT_OWNER = "suspect-owner"


class Choice(NamedTuple):
    """Describe a choice: the chosen member, the candidates and the reason."""

    member: Member
    candidates: tuple[NodeName, ...]
    reason: ChoiceReason


class Observation(NamedTuple):
    """Describe how a call to a chosen server ended."""

    outcome: CallOutcome
    path: str
    latency_s: float
    load: Load | None = None


class Router:
    """Choose the cheaper of two random candidates, local zone first."""

    def __init__(self, table: MemberTable, zone: ZoneName, rng: random.Random):
        self._table = table
        self._zone = zone
        self._rng = rng
        self._pools: dict[ServiceName, Pool] = {}

    def choose(
        self,
        service: ServiceName,
        exclude: Collection[NodeName],
        now: float,
        *,
        may_probe: bool = True,
    ) -> Choice | None:
        """Choose a server and count the call as outstanding; None if there is none."""
        pool = self._pool(service, now)
        pool.sweep(self._rng, now)
        choice = self._choose(pool, exclude, now, may_probe)
        if choice is not None:
            pool.views[choice.member.node].start(now)
        return choice

    def start(self, service: ServiceName, choice: Choice, now: float) -> None:
        """Count a call whose server was chosen elsewhere as outstanding."""
        view = self._pool(service, now).views.get(choice.member.node)
        if view is not None:
            view.start(now)

    def observe(
        self, service: ServiceName, node: NodeName, seen: Observation, now: float
    ) -> None:
        """Record how a call ended and update the state of its server."""
        pool = self._pools.get(service)
        view = pool.views.get(node) if pool is not None else None
        if view is None:
            return
        probed = view.probing
        view.end(now)
        if seen.outcome is CallOutcome.OWN_STALL:
            # The server's progress in the pause is unknown: restart its stall timer.
            view.progress_at = now
            return
        if seen.outcome in WAITS and seen.latency_s < view.stall_s:
            return
        if seen.load is not None:
            view.take_load(seen.load, now)
            pool.take_usage(view.others_usage)
        if seen.outcome is not CallOutcome.REFUSED:
            view.take_failure(seen.outcome in FAILURES)
        self._judge(pool, node, view, seen, probed, now)

    def _judge(
        self,
        pool: Pool,
        node: NodeName,
        view: ServerView,
        seen: Observation,
        probed: bool,
        now: float,
    ) -> None:
        outcome = seen.outcome
        if outcome in CERTAIN:
            pool.eject(node, CERTAIN[outcome], self._rng, now)
        elif outcome in STRIKES:
            view.strikes += 1
            if probed or view.strikes >= MAX_STRIKES:
                pool.eject(node, STRIKES[outcome], self._rng, now)
        else:
            view.progress_at = now
            view.strikes = 0
            self._take_answer(pool, node, view, seen, probed, now)

    def _take_answer(
        self,
        pool: Pool,
        node: NodeName,
        view: ServerView,
        seen: Observation,
        probed: bool,
        now: float,
    ) -> None:
        if seen.outcome is CallOutcome.DONE:
            pool.take_latency(view, seen.path, seen.latency_s, now)
        if not probed:
            return
        baseline = pool.baselines.get(seen.path)
        usual_s = baseline.latency_s if baseline is not None else 0.0
        if seen.outcome is CallOutcome.FAILED:
            pool.eject(node, EjectReason.FAILING, self._rng, now)
        elif view.reason is EjectReason.SLOW and (
            seen.latency_s > SLOW_PROBE_FACTOR * usual_s
        ):
            pool.eject(node, EjectReason.SLOW, self._rng, now)
        else:
            pool.restore(node, now)

    def _pool(self, service: ServiceName, now: float) -> Pool:
        members = self._table.servers_of(service)
        pool = self._pools.get(service)
        if pool is None:
            pool = self._pools[service] = Pool(service)
        if pool.members is not members:
            pool.set_members(members, self._zone, now)
        return pool

    def _choose(
        self, pool: Pool, exclude: Collection[NodeName], now: float, may_probe: bool
    ) -> Choice | None:
        probe = self._find_probe(pool, exclude, now, may_probe)
        if probe is not None:
            return Choice(probe, (probe.node,), ChoiceReason.PROBE)
        near = self._draw(pool, pool.near, exclude, now)
        if not near:
            return self._choose_far(pool, exclude, now)
        best = self._cheapest(pool, near, now)
        if pool.far and self._wants_spill(pool, best, now):
            far = self._draw(pool, pool.far, exclude, now)
            other = self._cheapest(pool, far, now) if far else best
            if self._gains(pool, best, other, now):
                return _name(other, [*near, other], ChoiceReason.SPILL)
        return _name(best, near, ChoiceReason.OWN_ZONE)

    def _choose_far(
        self, pool: Pool, exclude: Collection[NodeName], now: float
    ) -> Choice | None:
        far = self._draw(pool, pool.far, exclude, now)
        if not far:
            return self._choose_ejected(pool, exclude)
        return _name(self._cheapest(pool, far, now), far, ChoiceReason.OTHER_ZONE)

    def _draw(
        self,
        pool: Pool,
        members: list[Member],
        exclude: Collection[NodeName],
        now: float,
    ) -> list[Member]:
        """Return up to two random usable members."""
        if len(members) <= CHOICES:
            picks = [
                member
                for member in members
                if member.node not in exclude
                and is_usable(pool.views[member.node], now)
            ]
            # The first one wins at equal cost, so randomize the order.
            if len(picks) > 1 and self._rng.random() < 1 / CHOICES:
                picks.reverse()
            return picks
        picks: list[Member] = []
        for member in self._in_random_order(members):
            if member.node in exclude or (picks and member is picks[0]):
                continue
            if is_usable(pool.views[member.node], now):
                picks.append(member)
                if len(picks) == CHOICES:
                    break
        return picks

    def _in_random_order(self, members: list[Member]) -> Iterator[Member]:
        """Yield random members, then all in turn in case few are usable."""
        count = len(members)
        random_number = self._rng.random
        for _ in range(min(MAX_DRAWS, count)):
            yield members[int(random_number() * count)]
        first = int(random_number() * count)
        for number in range(count):
            yield members[(first + number) % count]

    def _cheapest(self, pool: Pool, picks: list[Member], now: float) -> Member:
        if len(picks) == 1:
            return picks[0]
        usual = pool.usual_usage
        return min(picks, key=lambda m: pool.views[m.node].cost(usual, now))

    def _wants_spill(self, pool: Pool, near: Member, now: float) -> bool:
        view = pool.views[near.node]
        is_full = view.usage(pool.usual_usage, now) >= FULL_USAGE
        return is_full or view.aged_slowness(now) >= SPILL_SLOWNESS

    def _gains(self, pool: Pool, near: Member, far: Member, now: float) -> bool:
        """Draw whether to leave the local zone: likelier with more gain, never sure."""
        usual = pool.usual_usage
        near_cost = pool.views[near.node].cost(usual, now)
        far_cost = pool.views[far.node].cost(usual, now)
        gain = near_cost / far_cost
        return gain >= SPILL_GAIN and self._rng.random() < 1 - 1 / gain

    def _find_probe(
        self, pool: Pool, exclude: Collection[NodeName], now: float, may_probe: bool
    ) -> Member | None:
        if not pool.ejected:
            return None
        member = pool.members[int(self._rng.random() * len(pool.members))]
        view = pool.views[member.node]
        if member.node in exclude or view.usability(now) is not Usability.PROBE_DUE:
            return None
        overdue = now - view.ejected_until > PROBE_PATIENCE_S
        return member if may_probe or overdue else None

    def _choose_ejected(
        self, pool: Pool, exclude: Collection[NodeName]
    ) -> Choice | None:
        members = [m for m in pool.near or pool.far if m.node not in exclude]
        members = members or [m for m in pool.members if m.node not in exclude]
        if not members:
            return None
        picks = self._rng.sample(members, min(CHOICES, len(members)))
        best = min(picks, key=lambda m: pool.views[m.node].outstanding)
        return _name(best, picks, ChoiceReason.ALL_EJECTED)


def _name(member: Member, picks: list[Member], reason: ChoiceReason) -> Choice:
    return Choice(member, tuple(m.node for m in picks), reason)
