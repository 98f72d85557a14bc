"""Show on a simulated gate how deadline_ms affects recovery and goodput."""

import random
import statistics
import sys

from persimmonhall.admission.core import AdmissionCore
from persimmonhall.admission.tests.simulation import Simulation

SLOTS = 6
SERVICE_S = 0.25
SERVICE_TIME_SPREAD = 0.2
CAPACITY_PER_S = SLOTS / SERVICE_S
NORMAL_LOAD_FACTOR, SURGE_LOAD_FACTOR = 0.7, 3.0
SURGE_BEGIN_S, SURGE_END_S, END_S = 10.0, 20.0, 40.0
DEADLINES_S = (1.5, 3.0, 6.0)
SEEDS = range(10)
STEP_S = 0.2
RECOVERED_FRACTION = 0.95


class _CompletionRecorder(Simulation):
    """Record the arrival times of requests that completed."""

    completed_arrivals: list[float]

    def _finish_next(self) -> None:
        ticket = self._running[self._completions[0][1]]
        ended_before = len(self.completed_at)
        super()._finish_next()
        if len(self.completed_at) > ended_before:
            self.completed_arrivals.append(ticket.deadline - self.deadline_s)

    def completed_fraction(self, first_s: float, last_s: float) -> float:
        """Return the fraction of requests from a time span that completed."""
        offered = sum(first_s <= at < last_s for at in self.arrived_at)
        return sum(first_s <= at < last_s for at in self.completed_arrivals) / max(
            1, offered
        )


def _run(deadline_s: float, seed: int) -> tuple[float, float]:
    """Return the recovery time in seconds and the goodput during a surge."""
    service_rng = random.Random(seed + len(SEEDS))
    run = _CompletionRecorder(
        AdmissionCore(SLOTS),
        lambda now, running: (
            SERVICE_S
            * service_rng.uniform(1 - SERVICE_TIME_SPREAD, 1 + SERVICE_TIME_SPREAD)
        ),
        random.Random(seed),
        deadline_s=deadline_s,
    )
    run.completed_arrivals = []
    run.run(SURGE_BEGIN_S, CAPACITY_PER_S * NORMAL_LOAD_FACTOR)
    run.run(SURGE_END_S, CAPACITY_PER_S * SURGE_LOAD_FACTOR)
    run.run(END_S, CAPACITY_PER_S * NORMAL_LOAD_FACTOR)
    completed = sum(SURGE_BEGIN_S <= at < SURGE_END_S for at in run.completed_arrivals)
    capacity = CAPACITY_PER_S * (SURGE_END_S - SURGE_BEGIN_S)
    return _recovery_s(run), completed / capacity


def _recovery_s(run: _CompletionRecorder) -> float:
    target = RECOVERED_FRACTION * run.completed_fraction(2.0, SURGE_BEGIN_S)
    steps = int((END_S - SURGE_END_S - 1.0) / STEP_S)
    for step in range(steps):
        begin = SURGE_END_S + step * STEP_S
        if run.completed_fraction(begin, begin + 1.0) >= target:
            return step * STEP_S
    return float("inf")


def main() -> int:
    """Print a row per deadline."""
    print("deadline s  recovery s mean / max  completed of capacity")
    for deadline_s in DEADLINES_S:
        rows = [_run(deadline_s, seed) for seed in SEEDS]
        recovery = [row[0] for row in rows]
        goodput = statistics.mean(row[1] for row in rows)
        print(
            f"{deadline_s:>10} {statistics.mean(recovery):>13.2f} / "
            f"{max(recovery):.2f} {goodput:>18.1%}"
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
