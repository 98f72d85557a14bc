"""Summarise a load simulation."""

from dataclasses import dataclass

from harness.load_model.simulation import LoadSimulation

RECOVERED_FRACTION = 0.95


@dataclass(frozen=True)
class Report:
    """Store the earned worth, results by kind, wasted work and recovery time."""

    earned_worth: float
    offered_worth: float
    kinds: dict[str, dict]
    wasted_fraction: float
    recovery_s: float | None
    # Of the slots of the busiest service, while requests are refused.
    used_while_refusing: float = 0.0

    @property
    def goodput(self) -> float:
        """Return the earned fraction of the offered worth."""
        return self.earned_worth / max(1.0, self.offered_worth)

    def as_dict(self) -> dict:
        """Return the report as values for JSON."""
        return {
            "goodput": round(self.goodput, 4),
            "wasted_share": round(self.wasted_fraction, 4),
            "recovery_s": self.recovery_s,
            "used_while_refusing": round(self.used_while_refusing, 4),
            "kinds": self.kinds,
        }

    def table(self) -> str:
        """Return the report as a text table."""
        lines = [
            f"goodput {self.goodput:.3f}  wasted {self.wasted_fraction:.3f}  "
            f"recovery {self.recovery_s} s  "
            f"slots used while refusing {self.used_while_refusing:.3f}",
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


def make_report(simulation: LoadSimulation) -> Report:
    """Build the report of a finished simulation."""
    earned_worth = offered_worth = 0.0
    kinds = {}
    for kind in simulation.scenario.kinds:
        count = simulation.callers.counts.get(kind.name)
        if count is None:
            continue
        earned_worth += count.in_time * kind.worth + count.late * kind.late_worth
        offered_worth += count.sent * kind.worth
        latencies_s = sorted(count.latencies_s) or [0.0]
        kinds[kind.name] = {
            "asked": count.sent,
            "in_time": count.in_time,
            "late": count.late,
            "refused": count.refused,
            "failed": count.failed,
            "served": round(count.served_fraction, 4),
            "p50_ms": round(latencies_s[len(latencies_s) // 2] * 1000),
            "p99_ms": round(latencies_s[int(len(latencies_s) * 0.99)] * 1000),
        }
    return Report(
        earned_worth,
        offered_worth,
        kinds,
        _wasted_fraction(simulation),
        _recovery_s(simulation),
        simulation.used_while_refusing(),
    )


def _wasted_fraction(simulation: LoadSimulation) -> float:
    """Return the fraction of runs that served requests did not need."""
    needed = sum(
        (count.in_time + count.late) * runs_per_request(simulation, name)
        for name, count in simulation.callers.counts.items()
    )
    started = sum(node.server.started for node in simulation.nodes.values())
    return max(0.0, 1 - needed / max(1, started))


def runs_per_request(simulation: LoadSimulation, name: str) -> int:
    """Return how many runs a request of a kind takes, including nested calls."""
    kind = next(k for k in simulation.scenario.kinds if k.name == name)
    return 1 + sum(c.times * runs_per_request(simulation, c.kind) for c in kind.calls)


def _recovery_s(simulation: LoadSimulation) -> float | None:
    """Return the seconds from the end of disturbances to recovered goodput."""
    if not simulation.scenario.disturbances:
        return None
    end = max(d.at_s + d.for_s for d in simulation.scenario.disturbances)
    begin = min(d.at_s for d in simulation.scenario.disturbances)
    before = [simulation.callers.worth_by_second[s] for s in range(1, int(begin))]
    if not before:
        return None
    mean_worth = sum(before) / len(before)
    for second in range(int(end) + 1, int(simulation.scenario.length_s)):
        if (
            simulation.callers.worth_by_second[second]
            >= RECOVERED_FRACTION * mean_worth
        ):
            return float(second - end)
    return simulation.scenario.length_s - end
