"""Choose the server of a call by its reported load."""

import random
from collections.abc import Collection
from dataclasses import dataclass

from persimmonhall.call.messages import Load
from persimmonhall.ids import NodeName, ServiceName, ZoneName
from persimmonhall.membership.messages import Member
from persimmonhall.membership.table import MemberTable

CHOICES = 2


@dataclass(frozen=True)
class Choice:
    """Name the chosen member, the candidates and the reason."""

    member: Member
    candidates: tuple[NodeName, ...]
    reason: str


class Router:
    """Pick the less loaded of two random candidates, own zone first."""

    def __init__(self, table: MemberTable, zone: ZoneName, rng: random.Random):
        self._table = table
        self._zone = zone
        self._rng = rng
        self._loads: dict[NodeName, Load] = {}

    def observe(self, node: NodeName, load: Load, now: float) -> None:
        """Take in the load that came with an answer."""
        self._loads[node] = load

    def choose(
        self, service: ServiceName, exclude: Collection[NodeName], now: float
    ) -> Choice | None:
        """Choose a member that serves the service, or none."""
        members = self._table.servers_of(service)
        members = [m for m in members if m.node not in exclude]
        near = [m for m in members if m.zone == self._zone]
        pool = near or members
        if not pool:
            return None
        picks = self._rng.sample(pool, min(CHOICES, len(pool)))
        best = min(picks, key=self._usage)
        reason = "own-zone" if near else "other-zone"
        return Choice(best, tuple(m.node for m in picks), reason)

    def _usage(self, member: Member) -> float:
        load = self._loads.get(member.node)
        if load is None:
            return 0.0
        return (load.in_flight + load.queued) / max(1, load.limit)
