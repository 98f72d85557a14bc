"""Format counters and histograms as a page of metrics."""

from collections.abc import Iterable
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

from persimmonhall.admission.counters import GateCounters
from persimmonhall.routing.load import Load
from persimmonhall.wire.answer_memory import AnswerMemory

PREFIX = "persimmonhall_"
PERCENTILES = (50.0, 99.0, 99.9)


@dataclass(frozen=True)
class ReplicaMetrics:
    """Represent the metrics of a replica."""

    role: str
    term: int
    commit: int
    applied: int
    snapshot: int
    log_bytes: int
    claims: int
    documents: int
    voters: int
    leader_known: bool
    storage_full: bool
    elections: int


def node_metrics_page(
    counters: GateCounters,
    load: Load,
    entry_answers: AnswerMemory,
    gate_answers: AnswerMemory,
) -> bytes:
    """Return the metrics of a node, one per line."""
    lines = [
        *_held_answer_metrics("entry", entry_answers),
        *_held_answer_metrics("gate", gate_answers),
        *_gauge("in_flight", load.in_flight),
        *_gauge("queued", load.queued),
        *_gauge("limit", load.limit),
        *_counters_by_worth("admitted", counters.admitted.items()),
        *_counters_by_worth("cancelled", counters.cancelled.items()),
        *_gauge("demoted_total", counters.demoted),
        *_refusal_counters(counters),
        *_histogram("queue_wait_us", counters.queue_wait_us),
        *_histogram("service_us", counters.service_us),
    ]
    return _join_lines(lines)


def replica_metrics_page(metrics: ReplicaMetrics, sync_us: HdrHistogram) -> bytes:
    """Return the metrics of a replica, one per line."""
    lines = [
        f'{PREFIX}role{{role="{metrics.role}"}} 1',
        *_gauge("term", metrics.term),
        *_gauge("commit_index", metrics.commit),
        *_gauge("applied_index", metrics.applied),
        *_gauge("snapshot_index", metrics.snapshot),
        *_gauge("log_bytes", metrics.log_bytes),
        *_gauge("claims", metrics.claims),
        *_gauge("documents", metrics.documents),
        *_gauge("voters", metrics.voters),
        *_gauge("leader_known", int(metrics.leader_known)),
        *_gauge("storage_full", int(metrics.storage_full)),
        *_gauge("elections_total", metrics.elections),
        *_histogram("sync_us", sync_us),
    ]
    return _join_lines(lines)


def _join_lines(lines: list[str]) -> bytes:
    return ("\n".join(lines) + "\n").encode()


def _gauge(name: str, value: int) -> Iterable[str]:
    yield f"{PREFIX}{name} {value}"


def _held_answer_metrics(role: str, answers: AnswerMemory) -> Iterable[str]:
    labels = f'{{role="{role}"}}'
    yield f"{PREFIX}held_answers_bytes{labels} {answers.used_bytes}"
    yield f"{PREFIX}held_answers_waits_total{labels} {answers.wait_count}"


def _counters_by_worth(name: str, counts: Iterable) -> Iterable[str]:
    for worth, count in counts:
        yield f'{PREFIX}{name}_total{{worth="{worth.value}"}} {count}'


def _refusal_counters(counters: GateCounters) -> Iterable[str]:
    for key, count in counters.refused.items():
        labels = f'kind="{key.kind.value}",worth="{key.worth.value}"'
        yield f"{PREFIX}refused_total{{{labels}}} {count}"


def _histogram(name: str, histogram: HdrHistogram) -> Iterable[str]:
    for percentile in PERCENTILES:
        value = histogram.get_value_at_percentile(percentile)
        yield f'{PREFIX}{name}{{percentile="{percentile:g}"}} {value}'
    yield f"{PREFIX}{name}_count {histogram.get_total_count()}"
