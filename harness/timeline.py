"""Show by time when requests began and why those that failed did."""

from collections import Counter, defaultdict

from persimmonhall.load.report import Sample

STEP_S = 0.1


class Timeline:
    """Sum up samples by the step of time in which they began."""

    def __init__(self):
        self._begun: dict[int, Counter] = defaultdict(Counter)
        self._whole: dict[int, Counter] = defaultdict(Counter)
        self._lost: dict[int, Counter] = defaultdict(Counter)
        self._names: set[str] = set()

    def add(self, sample: Sample) -> None:
        """Count one sample."""
        step = int(sample.sent_at / STEP_S)
        self._names.add(sample.name)
        self._begun[step][sample.name] += 1
        self._whole[step][sample.name] += sample.is_good
        if not sample.is_good:
            self._lost[step][f"{sample.name}:{sample.reason}"] += 1

    def text(self, first_s: float, last_s: float, zero_s: float) -> str:
        """Return a line a step: whole of begun by name, then the losses by reason."""
        names = sorted(self._names)
        lines = [" ".join(["      s", *(f"{name:>8}" for name in names), " lost"])]
        for step in range(round(first_s / STEP_S), round(last_s / STEP_S)):
            lines.append(self._line(step, names, zero_s))
        return "\n".join(lines)

    def _line(self, step: int, names: list[str], zero_s: float) -> str:
        cells = [
            f"{self._whole[step][name]:>4}/{self._begun[step][name]:<3}"
            for name in names
        ]
        lost = [f"{what}={n}" for what, n in sorted(self._lost[step].items())]
        return " ".join([f"{step * STEP_S - zero_s:>7.1f}", *cells, "", *lost])
