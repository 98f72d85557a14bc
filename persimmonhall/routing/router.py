"""Choose the server of a call by the outcomes and load of earlier calls."""

import math
import random
from collections.abc import Collection, Iterator
from enum import Enum
from typing import NamedTuple

from persimmonhall.ids import NodeName, ServiceName, ZoneName
from persimmonhall.membership.messages import Member
from persimmonhall.membership.table import MemberTable
from persimmonhall.routing.load import Load
from persimmonhall.routing.server_pool import ServerPool, is_usable
from persimmonhall.routing.server_view import (
    CallOutcome,
    EjectReason,
    ServerView,
    Usability,
)

MAX_CANDIDATES = 2
MAX_RANDOM_DRAWS = 24
MIN_SPILL_USAGE = 0.8
MIN_SPILL_LOG_SLOWNESS = math.log(2.0)
MIN_SPILL_GAIN = 1.5
# Usage times run time, as for the servers whose latency alone is known.
SPILL_SPEED_EXPONENT = 2.0
MAX_CONSECUTIVE_UNANSWERED = 2
SLOW_PROBE_FACTOR = 3.0
PROBE_OVERDUE_S = 5.0

UNANSWERED_EJECTIONS = {
    CallOutcome.LOST: EjectReason.LOST,
    CallOutcome.TIMED_OUT: EjectReason.STALLED,
    CallOutcome.CANCELLED: EjectReason.STALLED,
}
IMMEDIATE_EJECTIONS = {
    CallOutcome.UNREACHABLE: EjectReason.UNREACHABLE,
    CallOutcome.UNAVAILABLE: EjectReason.UNAVAILABLE,
}
# Tuples are searched by identity; the hash of an Enum takes longer.
STOPPED_WAITING_OUTCOMES = (CallOutcome.TIMED_OUT, CallOutcome.CANCELLED)
FAILURE_OUTCOMES = (*STOPPED_WAITING_OUTCOMES, CallOutcome.FAILED, CallOutcome.LOST)


class ChoiceReason(Enum):
    """Classify why a server was chosen."""

    LOCAL_ZONE = "own-zone"
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
    # Time that the server took, 0 if the gate does not report it.
    run_s: float = 0.0


class Router:
    """Choose the cheaper of two random candidates, local zone first."""

    def __init__(self, table: MemberTable, zone: ZoneName, rng: random.Random):
        self._table = table
        self._zone = zone
        self._rng = rng
        self._pools: dict[ServiceName, ServerPool] = {}

    def choose(
        self,
        service: ServiceName,
        exclude: Collection[NodeName],
        now: float,
        *,
        path: str = "",
        can_probe: bool = True,
    ) -> Choice | None:
        """Choose a server and count the call as outstanding; None if there is none."""
        pool = self._pool(service, now)
        pool.eject_outliers(self._rng, now)
        choice = self._choose(pool, path, exclude, now, can_probe)
        if choice is not None:
            pool.views[choice.member.node].start_call(now)
        return choice

    @property
    def pools(self) -> Collection[ServerPool]:
        """Return the servers of each service that this node has called."""
        return self._pools.values()

    def eject_accused(self, pool: ServerPool, node: NodeName, now: float) -> bool:
        """Eject a server that other nodes found bad; False if too many are ejected."""
        return pool.eject(node, EjectReason.ACCUSED, self._rng, now)

    def start_call(self, service: ServiceName, choice: Choice, now: float) -> None:
        """Count a call whose server was chosen elsewhere as outstanding."""
        view = self._pool(service, now).views.get(choice.member.node)
        if view is not None:
            view.start_call(now)

    def observe(
        self, service: ServiceName, node: NodeName, observation: Observation, now: float
    ) -> None:
        """Record how a call ended and update the state of its server."""
        pool = self._pools.get(service)
        view = pool.views.get(node) if pool is not None else None
        if view is None:
            return
        was_probe = view.is_probing
        view.end_call(now)
        if observation.outcome is CallOutcome.PROCESS_PAUSED:
            # The server's progress in the pause is unknown: restart its stall timer.
            view.last_progress_at = now
            return
        if (
            observation.outcome in STOPPED_WAITING_OUTCOMES
            and observation.latency_s < view.stall_s
        ):
            return
        if observation.load is not None:
            view.record_load(observation.load, now)
            pool.record_usage(view.usage_by_others)
            pool.record_speed(view, observation.path, observation.load, now)
        if observation.outcome is not CallOutcome.REFUSED:
            is_failure = observation.outcome in FAILURE_OUTCOMES
            pool.record_failure(node, is_failure, self._rng, now)
        self._update_ejection(pool, node, view, observation, was_probe, now)

    def has_unlimited_server(self, service: ServiceName, now: float) -> bool:
        """Return whether a server is not known to limit its rate."""
        views = self._pool(service, now).views.values()
        return any(not view.is_limited_at(now) for view in views)

    def _update_ejection(
        self,
        pool: ServerPool,
        node: NodeName,
        view: ServerView,
        observation: Observation,
        was_probe: bool,
        now: float,
    ) -> None:
        outcome = observation.outcome
        if outcome in IMMEDIATE_EJECTIONS:
            pool.eject(node, IMMEDIATE_EJECTIONS[outcome], self._rng, now)
        elif outcome in UNANSWERED_EJECTIONS:
            view.consecutive_unanswered += 1
            if was_probe or view.consecutive_unanswered >= MAX_CONSECUTIVE_UNANSWERED:
                pool.eject(node, UNANSWERED_EJECTIONS[outcome], self._rng, now)
        else:
            view.last_progress_at = now
            view.consecutive_unanswered = 0
            self._record_reply(pool, node, view, observation, was_probe, now)

    def _record_reply(
        self,
        pool: ServerPool,
        node: NodeName,
        view: ServerView,
        observation: Observation,
        was_probe: bool,
        now: float,
    ) -> None:
        if observation.outcome is CallOutcome.DONE:
            latency_s = observation.latency_s
            if observation.run_s > 0:
                # The gate tells the speed of its server; a long call tells nothing.
                latency_s += pool.typical_run_s(observation.path) - observation.run_s
            pool.record_latency(view, observation.path, latency_s, now)
        if not was_probe:
            return
        baseline = pool.baselines.get(observation.path)
        baseline_s = baseline.latency_s if baseline is not None else 0.0
        if observation.outcome is CallOutcome.FAILED:
            pool.eject(node, EjectReason.FAILING, self._rng, now)
        elif view.eject_reason is EjectReason.SLOW and (
            observation.latency_s > SLOW_PROBE_FACTOR * baseline_s
        ):
            pool.eject(node, EjectReason.SLOW, self._rng, now)
        else:
            pool.restore(node, now)

    def _pool(self, service: ServiceName, now: float) -> ServerPool:
        members = self._table.servers_of(service)
        pool = self._pools.get(service)
        if pool is None:
            pool = self._pools[service] = ServerPool(service)
        if pool.members is not members:
            pool.set_members(members, self._zone, now)
        return pool

    def _choose(
        self,
        pool: ServerPool,
        path: str,
        exclude: Collection[NodeName],
        now: float,
        can_probe: bool,
    ) -> Choice | None:
        probe = self._find_probe(pool, exclude, now, can_probe)
        if probe is not None:
            return Choice(probe, (probe.node,), ChoiceReason.PROBE)
        local_candidates = self._draw_candidates(
            pool, pool.local_members, path, exclude, now
        )
        if not local_candidates:
            return self._choose_remote(pool, path, exclude, now)
        best_local = self._cheapest(pool, local_candidates, path, now)
        if pool.remote_members and self._should_consider_spill(
            pool, best_local, path, now
        ):
            remote_candidates = self._draw_candidates(
                pool, pool.remote_members, path, exclude, now
            )
            best_remote = (
                self._cheapest(pool, remote_candidates, path, now)
                if remote_candidates
                else best_local
            )
            if self._should_spill(pool, best_local, best_remote, path, now):
                return _make_choice(
                    best_remote, [*local_candidates, best_remote], ChoiceReason.SPILL
                )
        return _make_choice(best_local, local_candidates, ChoiceReason.LOCAL_ZONE)

    def _choose_remote(
        self,
        pool: ServerPool,
        path: str,
        exclude: Collection[NodeName],
        now: float,
    ) -> Choice | None:
        remote_candidates = self._draw_candidates(
            pool, pool.remote_members, path, exclude, now
        )
        if not remote_candidates:
            return self._choose_ejected(pool, exclude)
        return _make_choice(
            self._cheapest(pool, remote_candidates, path, now),
            remote_candidates,
            ChoiceReason.OTHER_ZONE,
        )

    def _draw_candidates(
        self,
        pool: ServerPool,
        members: list[Member],
        path: str,
        exclude: Collection[NodeName],
        now: float,
    ) -> list[Member]:
        """Return up to two random usable members."""
        if len(members) <= MAX_CANDIDATES:
            candidates = [
                member
                for member in members
                if member.node not in exclude
                and is_usable(pool.views[member.node], now)
            ]
            # The first one wins at equal cost, so randomize the order.
            if len(candidates) > 1 and self._rng.random() < 1 / MAX_CANDIDATES:
                candidates.reverse()
            return candidates
        candidates: list[Member] = []
        for member in self._in_random_order(pool, members, path, now):
            if member.node in exclude or (candidates and member is candidates[0]):
                continue
            if is_usable(pool.views[member.node], now):
                candidates.append(member)
                if len(candidates) == MAX_CANDIDATES:
                    break
        return candidates

    def _in_random_order(
        self, pool: ServerPool, members: list[Member], path: str, now: float
    ) -> Iterator[Member]:
        """Yield members drawn by speed, then all in turn in case few are usable."""
        count = len(members)
        random_number = self._rng.random
        table = pool.draw_table(members, path, now)
        for _ in range(MAX_RANDOM_DRAWS):
            if table is None:
                yield members[int(random_number() * count)]
                continue
            index = table.draw(random_number())
            member = members[index]
            view = pool.views[member.node]
            penalty = view.slowdown_penalty(pool.mean_log_slowdown, now)
            if not penalty or random_number() < table.acceptance(index, penalty):
                yield member
        first = int(random_number() * count)
        for number in range(count):
            yield members[(first + number) % count]

    def _cheapest(
        self, pool: ServerPool, candidates: list[Member], path: str, now: float
    ) -> Member:
        if len(candidates) == 1:
            return candidates[0]
        exponent = pool.speed_exponent
        return min(
            candidates,
            key=lambda m: pool.cost(pool.views[m.node], path, now, exponent),
        )

    def _should_consider_spill(
        self, pool: ServerPool, local_candidate: Member, path: str, now: float
    ) -> bool:
        view = pool.views[local_candidate.node]
        is_full = view.usage(pool.mean_usage, now) >= MIN_SPILL_USAGE
        return is_full or view.is_slower_than(MIN_SPILL_LOG_SLOWNESS, path, now)

    def _should_spill(
        self,
        pool: ServerPool,
        local_candidate: Member,
        remote_candidate: Member,
        path: str,
        now: float,
    ) -> bool:
        """Draw whether to leave the local zone: likelier with more gain, never sure."""
        local_view = pool.views[local_candidate.node]
        remote_view = pool.views[remote_candidate.node]
        local_cost = pool.cost(local_view, path, now, SPILL_SPEED_EXPONENT)
        remote_cost = pool.cost(remote_view, path, now, SPILL_SPEED_EXPONENT)
        gain = local_cost / remote_cost
        return gain >= MIN_SPILL_GAIN and self._rng.random() < 1 - 1 / gain

    def _find_probe(
        self,
        pool: ServerPool,
        exclude: Collection[NodeName],
        now: float,
        can_probe: bool,
    ) -> Member | None:
        if not pool.ejected_count:
            return None
        member = pool.members[int(self._rng.random() * len(pool.members))]
        view = pool.views[member.node]
        if member.node in exclude or view.usability(now) is not Usability.PROBE_DUE:
            return None
        is_overdue = now - view.ejected_until > PROBE_OVERDUE_S
        return member if can_probe or is_overdue else None

    def _choose_ejected(
        self, pool: ServerPool, exclude: Collection[NodeName]
    ) -> Choice | None:
        members = [
            m
            for m in pool.local_members or pool.remote_members
            if m.node not in exclude
        ]
        members = members or [m for m in pool.members if m.node not in exclude]
        if not members:
            return None
        candidates = self._rng.sample(members, min(MAX_CANDIDATES, len(members)))
        best = min(candidates, key=lambda m: pool.views[m.node].outstanding)
        return _make_choice(best, candidates, ChoiceReason.ALL_EJECTED)


def _make_choice(
    member: Member, candidates: list[Member], reason: ChoiceReason
) -> Choice:
    return Choice(member, tuple(m.node for m in candidates), reason)
