"""Count requests and calls and export the counts to a Prometheus scraper."""

from bisect import bisect_left
from collections import Counter
from collections.abc import Callable, Iterator

PREFIX = "persimmonhall_"
# From the time of a hop within a zone to the longest timeout of callers.
BUCKET_BOUNDS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)


class DurationHistogram:
    """Count durations in buckets of a histogram."""

    def __init__(self):
        self._counts = [0] * (len(BUCKET_BOUNDS_S) + 1)
        self._sum_s = 0.0

    @property
    def sum_s(self) -> float:
        """Return the sum of all durations in seconds."""
        return self._sum_s

    def add(self, duration_s: float) -> None:
        """Count one duration."""
        self._counts[bisect_left(BUCKET_BOUNDS_S, duration_s)] += 1
        self._sum_s += duration_s

    def buckets(self) -> list[tuple[str, int]]:
        """Return each upper bound with the cumulative count of durations."""
        total = 0
        rows = []
        for bound, count in zip((*BUCKET_BOUNDS_S, "+Inf"), self._counts, strict=True):
            total += count
            rows.append((str(bound), total))
        return rows


class CallCounters:
    """Count the requests or calls of an entry or a gate by outcome."""

    def __init__(self):
        self.outcomes: Counter[str] = Counter()
        self.resent = 0
        self.sent = 0
        self.durations: dict[str, DurationHistogram] = {}

    def record(self, outcome: str, route: str, duration_s: float) -> None:
        """Count one finished request or call."""
        self.outcomes[outcome] += 1
        durations = self.durations.get(route)
        if durations is None:
            durations = self.durations[route] = DurationHistogram()
        durations.add(duration_s)


GaugeReader = Callable[[], dict[str, float]]
# Each name with its values by organisation.
OrganisationReader = Callable[[], dict[str, dict[str, float]]]


class Exposition:
    """Export the metrics of a node in the Prometheus text format."""

    def __init__(
        self,
        requests: CallCounters,
        calls: CallCounters,
        read_gauges: GaugeReader,
        read_organisations: OrganisationReader = dict,
    ):
        self._requests = requests
        self._calls = calls
        self._read_gauges = read_gauges
        self._read_organisations = read_organisations

    def collect(self) -> Iterator:
        """Yield every metric family; called by the client library."""
        from prometheus_client import core

        for name, counts in (("requests", self._requests), ("calls", self._calls)):
            counter = core.CounterMetricFamily(
                f"{PREFIX}{name}", f"{name} that ended, by outcome", labels=["outcome"]
            )
            for outcome, count in counts.outcomes.items():
                counter.add_metric([outcome], count)
            yield counter
            histogram = core.HistogramMetricFamily(
                f"{PREFIX}{name}_seconds", f"time that {name} took", labels=["route"]
            )
            for route, durations in counts.durations.items():
                histogram.add_metric([route], durations.buckets(), durations.sum_s)
            yield histogram
        yield core.CounterMetricFamily(
            f"{PREFIX}resent", "requests sent again", value=self._requests.resent
        )
        yield core.CounterMetricFamily(
            f"{PREFIX}calls_sent",
            "calls sent to the backend server",
            value=self._calls.sent,
        )
        for name, value in self._read_gauges().items():
            yield core.GaugeMetricFamily(PREFIX + name, name.replace("_", " "), value)

        for name, values in self._read_organisations().items():
            gauge = core.GaugeMetricFamily(
                f"{PREFIX}organisation_{name}",
                f"{name.replace('_', ' ')}, by organisation",
                labels=["organisation"],
            )
            for organisation, value in values.items():
                gauge.add_metric([organisation], value)
            yield gauge

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        # Imported on first use: the library takes 3 MB that a node may never need.
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry()
        registry.register(self)
        return generate_latest(registry)
