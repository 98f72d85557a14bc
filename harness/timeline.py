"""Show requests by start time, with the reasons of failures."""

from collections import Counter, defaultdict

from persimmonhall.load.report import Sample

STEP_S = 0.1


class Timeline:
    """Group samples by the time step in which they started."""

    def __init__(self):
        self._started: dict[int, Counter] = defaultdict(Counter)
        self._succeeded: dict[int, Counter] = defaultdict(Counter)
        self._failed: dict[int, Counter] = defaultdict(Counter)
        self._names: set[str] = set()

    def add(self, sample: Sample) -> None:
        """Count one sample."""
        step = int(sample.sent_at / STEP_S)
        self._names.add(sample.name)
        self._started[step][sample.name] += 1
        self._succeeded[step][sample.name] += sample.is_good
        if not sample.is_good:
            self._failed[step][f"{sample.name}:{sample.reason}"] += 1

    def text(self, first_s: float, last_s: float, origin_s: float) -> str:
        """Return a line per step: succeeded/started by name, failures by reason."""
        names = sorted(self._names)
        lines = [" ".join(["      s", *(f"{name:>8}" for name in names), " lost"])]
        for step in range(round(first_s / STEP_S), round(last_s / STEP_S)):
            lines.append(self._line(step, names, origin_s))
        return "\n".join(lines)

    def _line(self, step: int, names: list[str], origin_s: float) -> str:
        cells = [
            f"{self._succeeded[step][name]:>4}/{self._started[step][name]:<3}"
            for name in names
        ]
        failures = [f"{what}={n}" for what, n in sorted(self._failed[step].items())]
        return " ".join([f"{step * STEP_S - origin_s:>7.1f}", *cells, "", *failures])
