"""Format counters and histograms as a page of metrics."""

from collections.abc import Iterable
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

from persimmonhall.admission.counters import GateCounters
from persimmonhall.call.messages import Load
from persimmonhall.wire.answer_memory import AnswerMemory

PREFIX = "persimmonhall_"
PERCENTILES = (50.0, 99.0, 99.9)


@dataclass(frozen=True)
class ReplicaFigures:
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


def node_page(
    counters: GateCounters,
    load: Load,
    entry_answers: AnswerMemory,
    gate_answers: AnswerMemory,
) -> bytes:
    """Return the metrics of a node, one per line."""
    lines = [
        *_held_answers("entry", entry_answers),
        *_held_answers("gate", gate_answers),
        *_gauge("in_flight", load.in_flight),
        *_gauge("queued", load.queued),
        *_gauge("limit", load.limit),
        *_by_worth("admitted", counters.admitted.items()),
        *_by_worth("cancelled", counters.cancelled.items()),
        *_gauge("demoted_total", counters.demoted),
        *_refused(counters),
        *_histogram("queue_wait_us", counters.queue_wait_us),
        *_histogram("service_us", counters.service_us),
    ]
    return _page(lines)


def replica_page(figures: ReplicaFigures, sync_us: HdrHistogram) -> bytes:
    """Return the metrics of a replica, one per line."""
    lines = [
        f'{PREFIX}role{{role="{figures.role}"}} 1',
        *_gauge("term", figures.term),
        *_gauge("commit_index", figures.commit),
        *_gauge("applied_index", figures.applied),
        *_gauge("snapshot_index", figures.snapshot),
        *_gauge("log_bytes", figures.log_bytes),
        *_gauge("claims", figures.claims),
        *_gauge("documents", figures.documents),
        *_gauge("voters", figures.voters),
        *_gauge("leader_known", int(figures.leader_known)),
        *_gauge("storage_full", int(figures.storage_full)),
        *_gauge("elections_total", figures.elections),
        *_histogram("sync_us", sync_us),
    ]
    return _page(lines)


def _page(lines: list[str]) -> bytes:
    return ("\n".join(lines) + "\n").encode()


def _gauge(name: str, value: int) -> Iterable[str]:
    yield f"{PREFIX}{name} {value}"


def _held_answers(role: str, answers: AnswerMemory) -> Iterable[str]:
    labels = f'{{role="{role}"}}'
    yield f"{PREFIX}held_answers_bytes{labels} {answers.used_bytes}"
    yield f"{PREFIX}held_answers_waits_total{labels} {answers.waits}"


def _by_worth(name: str, counts: Iterable) -> Iterable[str]:
    for worth, count in counts:
        yield f'{PREFIX}{name}_total{{worth="{worth.value}"}} {count}'


def _refused(counters: GateCounters) -> Iterable[str]:
    for refused, count in counters.refused.items():
        labels = f'kind="{refused.kind.value}",worth="{refused.worth.value}"'
        yield f"{PREFIX}refused_total{{{labels}}} {count}"


def _histogram(name: str, histogram: HdrHistogram) -> Iterable[str]:
    for percentile in PERCENTILES:
        value = histogram.get_value_at_percentile(percentile)
        yield f'{PREFIX}{name}{{percentile="{percentile:g}"}} {value}'
    yield f"{PREFIX}{name}_count {histogram.get_total_count()}"
