"""Share the levels of routes among the nodes of a zone.

With hundreds of nodes an entry gets few replies of each route, and what they report
is outdated before the next one. Nodes therefore send what their own replies and
their own gate report to a few nodes of their zone, at a constant cost for each node.
"""

import struct
from collections.abc import Iterable

import xxhash

from persimmonhall.ids import RouteName
from persimmonhall.routing.route_levels import RouteLevels

REPORT_INTERVAL_S = 0.2
REPORT_FANOUT = 2
# The end of an overload is reported for this long, too.
REPORT_AFTER_OVERLOAD_S = 2.0
# Levels that differ less than this from the number of ranks count as no overload.
MIN_OVERLOAD = 0.05
# Hash of the route's name, and its level as a fraction of the number of ranks, as the
# releases of two nodes may differ in that.
ENTRY = struct.Struct("<IH")
LEVEL_SCALE = 0xFFFF
MAX_ENTRIES = 64


class LevelSharing:
    """Make reports of the levels that this node has observed and merge others."""

    def __init__(self, levels: RouteLevels):
        self._levels = levels
        self._names_by_hash: dict[int, RouteName] = {}
        self._overloaded_at: dict[RouteName, float] = {}

    def set_routes(self, names: Iterable[RouteName]) -> None:
        """Set the routes that reports may be about."""
        self._names_by_hash = {_hash_of(name): name for name in names}

    def make_report(self, gate_levels: dict[RouteName, float], now: float) -> bytes:
        """Encode what this node has observed of routes that are or were overloaded."""
        levels = self._levels.observed_levels(now)
        for name, level in gate_levels.items():
            levels[name] = min(level, levels.get(name, level))
        entries = []
        for name, level in levels.items():
            if self._is_reported(name, level, now):
                fraction = min(1.0, level / self._levels.rank_count)
                scaled_level = round(fraction * LEVEL_SCALE)
                entries.append(ENTRY.pack(_hash_of(name), scaled_level))
        return b"".join(entries[:MAX_ENTRIES])

    def _is_reported(self, name: RouteName, level: float, now: float) -> bool:
        if level < self._levels.rank_count - MIN_OVERLOAD:
            self._overloaded_at[name] = now
        elif now - self._overloaded_at.get(name, now) > REPORT_AFTER_OVERLOAD_S:
            del self._overloaded_at[name]
        return name in self._overloaded_at

    def merge_report(self, report: bytes, now: float) -> None:
        """Merge the observations of another node; ignore routes not known here."""
        for digest, level in ENTRY.iter_unpack(
            report[: len(report) - len(report) % ENTRY.size]
        ):
            name = self._names_by_hash.get(digest)
            if name is not None:
                own_level = level / LEVEL_SCALE * self._levels.rank_count
                self._levels.merge_level(name, own_level, now)


def _hash_of(name: RouteName) -> int:
    return xxhash.xxh32_intdigest(name.encode())
