"""Mutate valid input of every reader of outside bytes; report any other error."""

import argparse
import gc
import itertools
import math
import random
import sys
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from persimmonhall.control.messages import COMMANDS, REQUESTS, Submit
from persimmonhall.control.replica_messages import PEER_REQUESTS, Forward, ReadIndex
from persimmonhall.control.state_machine import StateMachine
from persimmonhall.departure.codecs import DEPARTURE_REPLIES
from persimmonhall.departure.messages import (
    Departures,
    RecordDeparture,
    RecordedDeparture,
)
from persimmonhall.dialect import NativeDialect
from persimmonhall.document.schema import parse_document
from persimmonhall.http.message_reader import (
    AnswerReader,
    BadMessageError,
    RequestReader,
)
from persimmonhall.http.messages import HttpRequest
from persimmonhall.ids import LogIndex
from persimmonhall.membership.datagrams import decode_datagram
from persimmonhall.membership.messages import (
    DATAGRAMS,
    SYNC_REQUESTS,
    CompareDigests,
    NodeReport,
    ReportTopic,
)
from persimmonhall.once.crash_messages import (
    Death,
    Suspect,
    SuspectNews,
    decode_news,
    encode_news,
)
from persimmonhall.platform.dialect import PlatformDialect
from persimmonhall.platform.tests.test_dialect import make_configuration
from persimmonhall.raft.messages import (
    MESSAGES,
    RECORDS,
    AppendReply,
    Entry,
    EntryKind,
    Vote,
)
from persimmonhall.raft.records import frame_batch, read_records
from persimmonhall.release.messages import PutRelease, WatchRelease
from persimmonhall.release.tests.builders import (
    encode_release,
    make_call,
    make_release,
    make_report,
)
from persimmonhall.settings import ControlSettings, NodeSettings
from persimmonhall.table_reader import read_toml
from persimmonhall.wire.call_frames import (
    CallFrameError,
    CallFrameReader,
    FrameType,
    GateLoad,
    RoutedReply,
    decode_call,
    decode_reply,
    encode_call,
    encode_reply,
    pack_frame,
)

SUSPECT = Suspect(9, "maps", "GET /a", (Death("d1", 5),))
EXAMPLES = Path(__file__).parents[1] / "examples"
MAX_CASE_S = 0.4
TRACED_FRACTION = 0.1
MAX_CASE_BYTES = 64 * 1024 * 1024
ODD_PARTS = (b"\0", b"\xff", b"-1", b"1e999", b"NaN", b"9" * 5000, b"null", b"[]")
ODD_PARTS += (b"[" * 50_000, b"\r\n\r\n", b'"\\ud800"', b"\xff" * 8, b"{}", b'"')
CHUNKS = b"transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
REQUESTS_WITH_LENGTH = (
    b"GET /a HTTP/1.1\r\nhost: x\r\n\r\n"
    b"PUT /b HTTP/1.1\r\nhost: y\r\ncontent-length: 3\r\n\r\nabc"
)
ANSWERS_WITH_LENGTH = (
    b"HTTP/1.1 204 No\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc"
)
HTTP_REQUESTS = (b"POST /a HTTP/1.1\r\nhost: x\r\n" + CHUNKS, REQUESTS_WITH_LENGTH)
HTTP_ANSWERS = (b"HTTP/1.1 200 OK\r\n" + CHUNKS, ANSWERS_WITH_LENGTH)


@dataclass(frozen=True)
class Target:
    """Define a reader, the only error that it may raise, and valid input."""

    read: Callable[[bytes], object]
    error: type[Exception] | tuple
    samples: tuple[bytes, ...]


def _read_http(reader_class: type) -> Callable[[bytes], None]:
    def read(data: bytes) -> None:
        reader = reader_class(16384)
        for start in range(0, len(data), 37):
            reader.feed(data[start : start + 37])
            while reader.next_message() is not None:
                reader.raise_if_failed()

    return read


def _read_report(data: bytes) -> object:
    return NativeDialect().node_call(HttpRequest("POST", "/-/instances", (), data))


def _read_settings(cls: type) -> Callable[[bytes], object]:
    return lambda data: read_toml(cls, data.decode("utf-8", "replace"))


def _read_frames(data: bytes) -> None:
    reader = CallFrameReader()
    for start in range(0, len(data), 11):
        reader.feed(data[start : start + 11])


def _read_block(data: bytes) -> None:
    StateMachine().restore(data)


def make_targets() -> dict[str, Target]:
    """Return every reader by name."""
    release = encode_release(make_release())
    put = PutRelease("digest", 1, 0, release)
    command = COMMANDS.encode(put)
    machine = StateMachine()
    departure = RecordDeparture("maps-1", RecordedDeparture("i-1", 1000, 4))
    machine.apply(put, LogIndex(1))
    machine.apply(departure, LogIndex(2))
    call = encode_call(make_call(3, body=b"body"))
    reply = encode_reply(
        RoutedReply(3, GateLoad(1, 2, 3, 1.5), 200, b"a: b\r\n", b"body")
    )
    records = tuple(
        RECORDS.encode(Entry(index, 1, EntryKind.COMMAND, command)) for index in (1, 2)
    )
    log = frame_batch(records, 1) + frame_batch(records, 2)
    report = encode_release(make_report()).replace(
        b'{"host": "127.0.0.1", "port": 9}', b'"127.0.0.1:9"'
    )
    datagram = NodeReport(int(ReportTopic.LEVELS), "a", b"levels")
    node = (EXAMPLES / "releases" / "node.toml").read_bytes()
    control = (EXAMPLES / "vanua" / "control.toml").read_bytes()
    documents = tuple(path.read_bytes() for path in EXAMPLES.glob("vanua/*s.toml"))
    frames = pack_frame(FrameType.CALL, call) + pack_frame(FrameType.REPLY, reply)
    return {
        "requests": Target(_read_http(RequestReader), BadMessageError, HTTP_REQUESTS),
        "answers": Target(_read_http(AnswerReader), BadMessageError, HTTP_ANSWERS),
        "calls": Target(decode_call, CallFrameError, (call,)),
        "replies": Target(decode_reply, CallFrameError, (reply,)),
        "call frames": Target(_read_frames, CallFrameError, (frames,)),
        "datagrams": Target(decode_datagram, ValueError, (DATAGRAMS.encode(datagram),)),
        "digests": Target(
            SYNC_REQUESTS.decode,
            ValueError,
            (SYNC_REQUESTS.encode(CompareDigests((1, 2))),),
        ),
        "suspects": Target(
            decode_news, ValueError, (encode_news(SuspectNews(7, (SUSPECT,))),)
        ),
        "commands": Target(
            COMMANDS.decode, ValueError, (command, COMMANDS.encode(departure))
        ),
        "control requests": Target(
            REQUESTS.decode,
            ValueError,
            (
                REQUESTS.encode(Submit(command)),
                REQUESTS.encode(WatchRelease(1, True)),
                REQUESTS.encode(departure),
            ),
        ),
        "departures": Target(
            DEPARTURE_REPLIES.decode,
            ValueError,
            (DEPARTURE_REPLIES.encode(Departures((departure.departure,))),),
        ),
        "replica requests": Target(
            PEER_REQUESTS.decode,
            ValueError,
            (PEER_REQUESTS.encode(Forward(command)), PEER_REQUESTS.encode(ReadIndex())),
        ),
        "raft messages": Target(
            MESSAGES.decode,
            ValueError,
            (
                MESSAGES.encode(Vote(1, 2, 3)),
                MESSAGES.encode(AppendReply(1, True, 2, 3, 4)),
            ),
        ),
        "log": Target(read_records, (), (log,)),
        "records": Target(RECORDS.decode, ValueError, records),
        "snapshots": Target(
            lambda data: StateMachine().restore(data),
            ValueError,
            tuple(machine.blocks()),
        ),
        "releases": Target(NativeDialect().decode_release, (), (release,)),
        "platform releases": Target(
            PlatformDialect().decode_release, (), (make_configuration(),)
        ),
        "reports": Target(_read_report, (), (report,)),
        "node settings": Target(_read_settings(NodeSettings), (), (node,)),
        "control settings": Target(_read_settings(ControlSettings), (), (control,)),
        "documents": Target(
            lambda data: parse_document(data.decode("utf-8", "replace")), (), documents
        ),
    }


def mutate(data: bytes, rng: random.Random) -> bytes:
    """Return bytes with a few changes."""
    changed = bytearray(data)
    for _ in range(rng.choice((1, 1, 2, 4, 8))):
        start = rng.randrange(len(changed) + 1)
        end = start + rng.choice((0, 0, 1, 2, 8, rng.randrange(64)))
        match rng.randrange(4):
            case 0:
                changed[start:end] = rng.choice(ODD_PARTS)
            case 1:
                changed[start:end] = rng.randbytes(rng.randrange(9))
            case 2 if start < len(changed):
                changed[start] ^= 1 << rng.randrange(8)
            case 3:
                changed[start:start] = changed[start:end] * rng.choice((1, 2, 100))
    return bytes(changed[: rng.randrange(len(changed) + 1) if not end % 7 else None])


def run_case(target: Target, data: bytes) -> str:
    """Read one input and return what is wrong, if anything."""
    begin = time.thread_time()
    try:
        target.read(data)
    except target.error:
        pass
    except Exception as error:
        return f"{type(error).__name__}: {str(error)[:200]}"
    if tracemalloc.is_tracing():
        peak = tracemalloc.get_traced_memory()[1]
        return f"used {peak} bytes" if peak > MAX_CASE_BYTES else ""
    took_s = time.thread_time() - begin
    return f"took {took_s:.1f} s" if took_s > MAX_CASE_S else ""


def run(
    seed: int, seconds: float = math.inf, rounds: int | None = None
) -> list[tuple[str, bytes, str]]:
    """Return the inputs that broke a reader, one of each reader and error type.

    A number of rounds, unlike a time, gives the same inputs on every machine.
    """
    rng, targets = random.Random(seed), make_targets()
    found: dict[tuple[str, str], tuple[str, bytes, str]] = {}
    # Collecting what other parts of the process hold would count as time of a case.
    gc.collect()
    gc.freeze()
    end = time.monotonic() + seconds
    numbers = itertools.count() if rounds is None else range(rounds)
    for _ in numbers:
        if time.monotonic() >= end:
            break
        # Tracing takes time, so a round measures either memory or time.
        if rng.random() < TRACED_FRACTION:
            tracemalloc.start()
        for name, target in targets.items():
            data = mutate(rng.choice(target.samples), rng)
            if problem := run_case(target, data):
                key = (name, problem.partition(":")[0])
                found.setdefault(key, (name, data, problem))
        tracemalloc.stop()
    gc.unfreeze()
    return list(found.values())


def main() -> int:
    """Fuzz with a fresh or a given seed; return 1 if any reader broke."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=120.0)
    parser.add_argument("--seed", type=int, default=time.time_ns() % 1_000_000)
    options = parser.parse_args()
    found = run(options.seed, options.seconds)
    for name, data, problem in found:
        print(f"{name}: {problem}\n  {data[:300]!r}, {len(data)} bytes")
    print(f"seed {options.seed}: {len(found)} readers broken")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
