"""Define the datagrams that carry counts and limits.

Counts are cumulative modulo 2**32, so lost, repeated and reordered datagrams only delay
the sums.
"""

import struct
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from itertools import islice

from persimmonhall.pooling.subject import Limit, SubjectId

MODULUS = 1 << 32
# Kind, flags, boot, sequence, covered time in hundredths of a second, reach.
COUNTS_HEADER = struct.Struct("<BBIIHH")
# Subject, asked, admitted, admitted in the last window.
COUNTS_ENTRY = struct.Struct("<IIII")
# Kind, flags, boot and sequence of the report that is answered, boot of the collector.
LIMITS_HEADER = struct.Struct("<BBIII")
# Subject, fraction, share, time until there is room in hundredths of a second.
LIMITS_ENTRY = struct.Struct("<IHHH")
COUNTS_KIND = 1
LIMITS_KIND = 2
FLAG = 1
SHARES_FLAG = 2
# Set where none is needed, so that nodes which don't know it get an answer.
NO_ANSWER_FLAG = 4
URGENT_FLAG = 4
FRACTION_SCALE = 65535
SHARE_SCALE = 4096
MAX_SHARE = 15.0
TIME_SCALE = 100
MAX_U16 = 0xFFFF
MAX_COUNTS = 70
MAX_LIMITS = 110


@dataclass(frozen=True, slots=True)
class Count:
    """Count the requests of one subject; `recent` are those of the last window."""

    asked: int
    admitted: int
    recent: int


@dataclass(frozen=True, slots=True)
class CountsReport:
    """Report cumulative counts of a node, or of all that a collector has counted.

    `boot` changes when the counts start again. A first report carries all subjects.
    Counts have run for `covered_s`, up to the length of the window. `reach` is the part
    of the nodes that are in zones which the reporter reaches. The answer is to contain
    shares only if the reporter needs them. One that needs no answer gets it all the
    same if there is something to tell.
    """

    boot: int
    sequence: int
    covered_s: float
    counts: dict[SubjectId, Count]
    is_first: bool = False
    needs_shares: bool = False
    reach: float = 1.0
    needs_answer: bool = True


@dataclass(frozen=True, slots=True)
class LimitsAnswer:
    """Answer a report of a node with the subjects that are not treated as usual.

    Until a collector has the counts of all nodes it is not ready, and earlier limits
    stay in force. A node tells a collector with a new `collector_boot` everything.
    While an answer is urgent, the next one may bring a limit.
    """

    boot: int
    sequence: int
    collector_boot: int
    is_ready: bool
    limits: dict[SubjectId, Limit]
    has_shares: bool = False
    is_urgent: bool = False


def encode_counts(report: CountsReport) -> Iterator[bytes]:
    """Encode a report as one or more datagrams."""
    header = COUNTS_HEADER.pack(
        COUNTS_KIND,
        FLAG * report.is_first
        + SHARES_FLAG * report.needs_shares
        + NO_ANSWER_FLAG * (not report.needs_answer),
        report.boot,
        report.sequence,
        min(MAX_U16, int(report.covered_s * TIME_SCALE)),
        int(report.reach * FRACTION_SCALE),
    )
    entries = (
        COUNTS_ENTRY.pack(
            subject, c.asked % MODULUS, c.admitted % MODULUS, max(0, c.recent)
        )
        for subject, c in report.counts.items()
    )
    return _encode_parts(header, entries, MAX_COUNTS)


def decode_counts(payload: bytes) -> CountsReport | None:
    """Decode a report; return None if it is none or damaged."""
    if not _is_whole(payload, COUNTS_KIND, COUNTS_HEADER, COUNTS_ENTRY):
        return None
    _, flags, boot, sequence, covered, reach = COUNTS_HEADER.unpack_from(payload)
    counts = {
        subject: Count(asked, admitted, recent)
        for subject, asked, admitted, recent in COUNTS_ENTRY.iter_unpack(
            payload[COUNTS_HEADER.size :]
        )
    }
    return CountsReport(
        boot,
        sequence,
        covered / TIME_SCALE,
        counts,
        bool(flags & FLAG),
        bool(flags & SHARES_FLAG),
        reach / FRACTION_SCALE,
        not flags & NO_ANSWER_FLAG,
    )


def encode_limits(answer: LimitsAnswer) -> Iterator[bytes]:
    """Encode an answer as one or more datagrams."""
    header = LIMITS_HEADER.pack(
        LIMITS_KIND,
        FLAG * answer.is_ready
        + SHARES_FLAG * answer.has_shares
        + URGENT_FLAG * answer.is_urgent,
        answer.boot,
        answer.sequence,
        answer.collector_boot,
    )
    entries = (
        LIMITS_ENTRY.pack(
            subject,
            int(limit.fraction * FRACTION_SCALE),
            int(min(limit.share, MAX_SHARE) * SHARE_SCALE),
            min(MAX_U16, int(limit.wait_s * TIME_SCALE)),
        )
        for subject, limit in answer.limits.items()
    )
    return _encode_parts(header, entries, MAX_LIMITS)


def decode_limits(payload: bytes) -> LimitsAnswer | None:
    """Decode an answer; return None if it is none or damaged."""
    if not _is_whole(payload, LIMITS_KIND, LIMITS_HEADER, LIMITS_ENTRY):
        return None
    _, flags, boot, sequence, collector_boot = LIMITS_HEADER.unpack_from(payload)
    limits = {
        subject: Limit(
            fraction / FRACTION_SCALE, share / SHARE_SCALE, wait / TIME_SCALE
        )
        for subject, fraction, share, wait in LIMITS_ENTRY.iter_unpack(
            payload[LIMITS_HEADER.size :]
        )
    }
    return LimitsAnswer(
        boot,
        sequence,
        collector_boot,
        bool(flags & FLAG),
        limits,
        bool(flags & SHARES_FLAG),
        bool(flags & URGENT_FLAG),
    )


def signed_difference(new: int, old: int) -> int:
    """Return the difference of two cumulative counts; it may be negative."""
    half = MODULUS // 2
    return (new - old + half) % MODULUS - half


def _encode_parts(
    header: bytes, entries: Iterable[bytes], max_entries: int
) -> Iterator[bytes]:
    parts = [b"".join(part) for part in _batched(entries, max_entries)]
    for part in parts or [b""]:
        yield header + part


def _batched(entries: Iterable[bytes], size: int) -> Iterator[tuple[bytes, ...]]:
    iterator = iter(entries)
    while part := tuple(islice(iterator, size)):
        yield part


def _is_whole(
    payload: bytes, kind: int, header: struct.Struct, entry: struct.Struct
) -> bool:
    size = len(payload) - header.size
    return size >= 0 and payload[0] == kind and size % entry.size == 0
