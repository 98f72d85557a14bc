"""Share with the nodes of a zone which servers are bad or slow now.

Load: a node meets each of 37 servers once in several seconds, so that each of 31
nodes of a zone would lose calls to a bad server before it ejects it. Reports go to a
few nodes at a time, pass on what others observed, and are empty while nothing changes.
"""

import math
import struct
from collections.abc import Iterable, Mapping
from enum import IntEnum

import xxhash

from persimmonhall.events import Event, EventLog
from persimmonhall.ids import NodeName, RouteName
from persimmonhall.routing.router import Router
from persimmonhall.routing.server_pool import ServerPool
from persimmonhall.routing.server_view import EjectReason

HEALTH_FANOUT = 2
# Observations are passed on up to this age: by then all nodes of a zone have them.
MAX_AGE_S = 1.0
# Servers that take longer than usual by this factor are reported.
MIN_SHARED_SLOWDOWN = 1.65
# Shorter slowdowns would be over before the zone knows them.
MIN_SLOW_S = 0.5
# Nodes that must have ejected a server before others do without calls of their own.
MIN_ACCUSERS = 2
# Usual run times are reported again once they differ by this logarithm.
MIN_USUAL_CHANGE = 0.2
# Hashes of the server's node and of the observer (of the route for usual times, which
# the gate of the server reports), kind, age, value.
ENTRY = struct.Struct("<IIBBH")
AGE_SCALE = 200
SLOWDOWN_SCALE = 1000
LOG_US_SCALE = 3000
MAX_ENTRIES = 96
MAX_KNOWN = 1024
MAX_U16 = 0xFFFF


class Kind(IntEnum):
    """Classify what was observed of a server."""

    EJECTED = 0
    SLOWER_THAN_USUAL = 1
    USUAL_TIME = 2


# Ejections whose cause any node would meet. Slowness may be that of the path.
SHARED_REASONS = frozenset({EjectReason.LOST, EjectReason.STALLED, EjectReason.FAILING})


class HealthSharing:
    """Make reports of bad and slow servers and merge those of other nodes."""

    def __init__(self, router: Router, local_node: NodeName, log: EventLog):
        self._router = router
        self._local_hash = _hash_of(local_node)
        self._log = log
        self._slow_since = math.inf
        # Time and value by server, observer and kind.
        self._known: dict[tuple[int, int, int], tuple[float, int]] = {}
        self._reported_times: dict[str, float] = {}
        self._routes_by_hash: dict[int, RouteName] = {}
        # Usual times of servers of services that this node has not called yet.
        self._unused_times: dict[tuple[int, int], int] = {}
        self._pool_count = 0

    def set_routes(self, names: Iterable[RouteName]) -> None:
        """Set the routes that reports may be about."""
        self._routes_by_hash = {_hash_of(name): name for name in names}

    def make_report(
        self, slowdown: float, usual_times: Mapping[str, float], now: float
    ) -> bytes:
        """Encode what is known; the figures are those of the own backend server."""
        is_slow = slowdown >= MIN_SHARED_SLOWDOWN
        self._slow_since = min(self._slow_since, now) if is_slow else math.inf
        if now - self._slow_since >= MIN_SLOW_S:
            key = (self._local_hash, self._local_hash, Kind.SLOWER_THAN_USUAL)
            value = min(MAX_U16, int(slowdown * SLOWDOWN_SCALE))
            self._known[key] = (now, value)
        self._add_own_times(usual_times, now)
        self._use_new_pools()
        for pool in self._router.pools:
            self._add_own_ejections(pool, now)
        if not self._known:
            return b""
        self._drop_outdated(now)
        newest = sorted(self._known.items(), key=lambda item: -item[1][0])
        return b"".join(
            ENTRY.pack(
                *key,
                int((now - observed_at) * AGE_SCALE),
                value,
            )
            for key, (observed_at, value) in newest[:MAX_ENTRIES]
        )

    def merge_report(self, report: bytes, now: float) -> None:
        """Merge the observations of other nodes; ignore servers not known here."""
        whole = report[: len(report) - len(report) % ENTRY.size]
        for server, observer, kind, age, value in ENTRY.iter_unpack(whole):
            if self._local_hash in (server, observer) or len(self._known) >= MAX_KNOWN:
                continue
            observed_at = now - age / AGE_SCALE
            key = (server, observer, kind)
            known_at, _ = self._known.get(key, (-math.inf, 0))
            # Copies of one observation differ by the rounding of their ages.
            if observed_at <= known_at + 2 / AGE_SCALE:
                continue
            self._known[key] = (observed_at, value)
            self._apply(key, now)

    def _apply(self, key: tuple[int, int, int], now: float) -> None:
        server, observer, kind = key
        observed_at, value = self._known[key]
        if kind == Kind.USUAL_TIME:
            self._use_time(server, observer, value)
            return
        for pool in self._router.pools:
            node = pool.node_by_hash(server, _hash_of)
            if node is None:
                continue
            if kind == Kind.EJECTED:
                self._consider_ejection(pool, node, server, now)
            elif kind == Kind.SLOWER_THAN_USUAL:
                pool.merge_slowdown(node, value / SLOWDOWN_SCALE, observed_at)

    def _use_time(self, server: int, route_hash: int, value: int) -> None:
        route = self._routes_by_hash.get(route_hash)
        usual_s = math.exp(value / LOG_US_SCALE) / 1_000_000
        for pool in self._router.pools:
            node = pool.node_by_hash(server, _hash_of)
            if node is not None and route is not None:
                pool.merge_usual_time(pool.views[node], route, usual_s)
                return
        if len(self._unused_times) < MAX_KNOWN:
            self._unused_times[server, route_hash] = value

    def _use_new_pools(self) -> None:
        """Use the times told before this node called the service."""
        if len(self._router.pools) == self._pool_count:
            return
        self._pool_count = len(self._router.pools)
        unused, self._unused_times = self._unused_times, {}
        for (server, route_hash), value in unused.items():
            self._use_time(server, route_hash, value)

    def _add_own_times(self, usual_times: Mapping[str, float], now: float) -> None:
        for route, usual_s in usual_times.items():
            reported_s = self._reported_times.get(route, 0.0)
            is_known = reported_s > 0
            if is_known and abs(math.log(usual_s / reported_s)) < MIN_USUAL_CHANGE:
                continue
            self._reported_times[route] = usual_s
            value = int(math.log(max(1.0, usual_s * 1_000_000)) * LOG_US_SCALE)
            key = (self._local_hash, _hash_of(route), Kind.USUAL_TIME)
            self._known[key] = (now, min(MAX_U16, value))

    def _consider_ejection(
        self, pool: ServerPool, node: NodeName, server: int, now: float
    ) -> None:
        times = [
            observed_at
            for key, (observed_at, _) in self._known.items()
            if key[0] == server
            and key[2] == Kind.EJECTED
            and now - observed_at <= MAX_AGE_S
        ]
        view = pool.views[node]
        accusers = len(times) + (view.consecutive_unanswered > 0)
        # An answer to this node after the ejections shows that the server works.
        if accusers < MIN_ACCUSERS or view.sampled_at >= max(times):
            return
        if view.eject_reason is None and self._router.eject_accused(pool, node, now):
            self._log.emit(
                Event.SERVER_ACCUSED,
                service=pool.service,
                server=node,
                accusers=accusers,
                seconds=round(view.ejected_until - now, 1),
            )

    def _add_own_ejections(self, pool: ServerPool, now: float) -> None:
        if not pool.ejected_count:
            return
        for node, view in pool.views.items():
            is_shared = view.eject_reason in SHARED_REASONS
            if is_shared and now - view.ejected_at <= MAX_AGE_S:
                key = (_hash_of(node), self._local_hash, Kind.EJECTED)
                self._known[key] = (view.ejected_at, 0)

    def _drop_outdated(self, now: float) -> None:
        self._known = {
            key: value
            for key, value in self._known.items()
            if now - value[0] <= MAX_AGE_S
        }


def _hash_of(name: str) -> int:
    return xxhash.xxh32_intdigest(name.encode())
