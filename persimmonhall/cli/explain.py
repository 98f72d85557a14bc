"""Show the events of one request from collected log files."""

import json
import sys
from collections.abc import Iterable
from pathlib import Path

from persimmonhall.errors import ErrorKind
from persimmonhall.events import REQUESTS_PER_SAMPLE, Event, is_sampled
from persimmonhall.status import ExitStatus

# Events that affect every request at a node; shown if close in time to the request.
CONTEXT_EVENTS = frozenset(
    {
        Event.SHED_LEVEL.value,
        Event.INSTANCE_GONE.value,
        Event.INSTANCE_SEEN.value,
        Event.LINK_LOST.value,
        Event.RELEASE_IN_FORCE.value,
        Event.COLLECTOR_CHANGED.value,
        Event.COLLECTOR_LOST.value,
        Event.COLLECTOR_REGAINED.value,
        Event.STOP.value,
        Event.LINES_DROPPED.value,
    }
)
CONTEXT_S = 1.0
HIDDEN_FIELDS = frozenset({"t", "node", "event", "request"})


def explain(attempt_id: str, files: Iterable[Path]) -> ExitStatus:
    """Print the events of a request and related node events in time order."""
    lines = [line for path in files for line in read_lines(path)]
    request_lines = [line for line in lines if line.get("request") == attempt_id]
    if not request_lines:
        print(_not_found_message(attempt_id, len(lines)))
        return ExitStatus.REFUSED
    nodes = {line["node"] for line in request_lines}
    context_start = min(line["t"] for line in request_lines) - CONTEXT_S
    context_end = max(line["t"] for line in request_lines) + CONTEXT_S
    context_lines = [
        line
        for line in lines
        if line["event"] in CONTEXT_EVENTS
        and line["node"] in nodes
        and context_start <= line["t"] <= context_end
    ]
    context_lines += _limit_lines(request_lines, lines)
    for line in sorted([*request_lines, *context_lines], key=lambda line: line["t"]):
        print(_format_line(line, is_about_request=line.get("request") == attempt_id))
    return ExitStatus.SUCCESS


def _limit_lines(request_lines: list[dict], lines: list[dict]) -> list[dict]:
    """Return when a collector began to limit the organisation of a refused request."""
    refused = [
        line
        for line in request_lines
        if line.get("error") == ErrorKind.QUOTA_EXCEEDED.value
    ]
    if not refused:
        return []
    begun = [
        line
        for line in lines
        if line["event"] == Event.QUOTA_EXCEEDED.value
        and line.get("organisation") == refused[0].get("organisation")
        and line["t"] <= refused[0]["t"]
    ]
    return sorted(begun, key=lambda line: line["t"])[-1:]


def read_lines(path: Path) -> list[dict]:
    """Return the structured lines of a file, ignoring any prefix of a line."""
    lines = []
    with path.open(encoding="utf-8", errors="replace") as file:
        for text in file:
            start = text.find('{"t"')
            if start < 0:
                continue
            try:
                lines.append(json.loads(text[start:]))
            except ValueError:
                print(f"{path}: invalid log line: {text[:60]!r}", file=sys.stderr)
    return lines


def _not_found_message(attempt_id: str, line_count: int) -> str:
    if is_sampled(attempt_id):
        return (
            f"{attempt_id}: not found in {line_count} lines; "
            "are the logs of all nodes given?"
        )
    return (
        f"{attempt_id}: not found in {line_count} lines. It met no error: one in "
        f"{REQUESTS_PER_SAMPLE} such requests is logged."
    )


def _format_line(line: dict, *, is_about_request: bool) -> str:
    fields = " ".join(
        f"{key}={value}" for key, value in line.items() if key not in HIDDEN_FIELDS
    )
    mark = " " if is_about_request else "*"
    return f"{line['t']:.4f} {mark} {line['node']:24} {line['event']:18} {fields}"
