"""Write counters and histograms as a page of text."""

from collections.abc import Iterable

from hdrh.histogram import HdrHistogram

from persimmonhall.admission.counters import GateCounters
from persimmonhall.call.messages import Load
from persimmonhall.wire.answer_memory import AnswerMemory

PREFIX = "persimmonhall_"
PERCENTILES = (50.0, 99.0, 99.9)


def node_page(
    counters: GateCounters,
    load: Load,
    entry_answers: AnswerMemory,
    gate_answers: AnswerMemory,
) -> bytes:
    """Write the metrics of a node, one a line."""
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
