"""Summarise a load simulation."""

from dataclasses import dataclass

from harness.load_model.world import World

RECOVERED_SHARE = 0.95


@dataclass(frozen=True)
class Report:
    """Store the earned worth, results by kind, wasted work and recovery time."""

    earned: float
    owed: float
    kinds: dict[str, dict]
    wasted_share: float
    recovery_s: float | None

    @property
    def goodput(self) -> float:
        """Return the earned fraction of the offered worth."""
        return self.earned / max(1.0, self.owed)

    def as_dict(self) -> dict:
        """Return the report as values for JSON."""
        return {
            "goodput": round(self.goodput, 4),
            "wasted_share": round(self.wasted_share, 4),
            "recovery_s": self.recovery_s,
            "kinds": self.kinds,
        }

    def table(self) -> str:
        """Return the report as a text table."""
        lines = [
            f"goodput {self.goodput:.3f}  wasted {self.wasted_share:.3f}  "
            f"recovery {self.recovery_s} s",
            f"{'kind':16}{'asked':>8}{'in time':>9}{'late':>7}{'refused':>9}"
            f"{'failed':>8}{'served':>8}{'p50 ms':>8}{'p99 ms':>8}",
        ]
        for name, kind in self.kinds.items():
            lines.append(
                f"{name:16}{kind['asked']:8}{kind['in_time']:9}{kind['late']:7}"
                f"{kind['refused']:9}{kind['failed']:8}{kind['served']:8.3f}"
                f"{kind['p50_ms']:8}{kind['p99_ms']:8}"
            )
        return "\n".join(lines)


def report_of(world: World) -> Report:
    """Build the report of a finished simulation."""
    earned = owed = 0.0
    kinds = {}
    for kind in world.scenario.kinds:
        count = world.callers.counts.get(kind.name)
        if count is None:
            continue
        earned += count.in_time * kind.worth + count.late * kind.late_worth
        owed += count.asked * kind.worth
        seconds = sorted(count.seconds) or [0.0]
        kinds[kind.name] = {
            "asked": count.asked,
            "in_time": count.in_time,
            "late": count.late,
            "refused": count.refused,
            "failed": count.failed,
            "served": round(count.served, 4),
            "p50_ms": round(seconds[len(seconds) // 2] * 1000),
            "p99_ms": round(seconds[int(len(seconds) * 0.99)] * 1000),
        }
    return Report(earned, owed, kinds, _wasted(world), _recovery_s(world))


def _wasted(world: World) -> float:
    """Return the fraction of runs that served requests did not need."""
    needed = sum(
        (count.in_time + count.late) * runs_of(world, name)
        for name, count in world.callers.counts.items()
    )
    started = sum(node.server.started for node in world.nodes.values())
    return max(0.0, 1 - needed / max(1, started))


def runs_of(world: World, name: str) -> int:
    """Return how many runs a request of a kind takes, including nested calls."""
    kind = next(k for k in world.scenario.kinds if k.name == name)
    return 1 + sum(c.times * runs_of(world, c.kind) for c in kind.calls)


def _recovery_s(world: World) -> float | None:
    """Return the seconds from the end of disturbances to recovered goodput."""
    if not world.scenario.disturbances:
        return None
    end = max(d.at_s + d.for_s for d in world.scenario.disturbances)
    begin = min(d.at_s for d in world.scenario.disturbances)
    before = [world.callers.by_second[s] for s in range(1, int(begin))]
    if not before:
        return None
    usual = sum(before) / len(before)
    for second in range(int(end) + 1, int(world.scenario.length_s)):
        if world.callers.by_second[second] >= RECOVERED_SHARE * usual:
            return float(second - end)
    return world.scenario.length_s - end
