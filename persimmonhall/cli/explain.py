"""Show the events of one request from collected log files."""

import json
import sys
from collections.abc import Iterable
from pathlib import Path

from persimmonhall.events import SAMPLED_ONE_IN, Event, is_sampled
from persimmonhall.status import ExitStatus

# Events that affect every request at a node; shown if close in time to the request.
AROUND = frozenset(
    {
        Event.SHED_LEVEL.value,
        Event.INSTANCE_GONE.value,
        Event.INSTANCE_SEEN.value,
        Event.LINK_LOST.value,
        Event.RELEASE_IN_FORCE.value,
        Event.STOP.value,
        Event.LINES_DROPPED.value,
    }
)
AROUND_S = 1.0
HIDDEN = frozenset({"t", "node", "event", "request"})


def explain(request: str, files: Iterable[Path]) -> ExitStatus:
    """Print the events of a request and related node events in time order."""
    lines = [line for path in files for line in read_lines(path)]
    own = [line for line in lines if line.get("request") == request]
    if not own:
        print(_nothing_found(request, len(lines)))
        return ExitStatus.REFUSED
    nodes = {line["node"] for line in own}
    begin = min(line["t"] for line in own) - AROUND_S
    end = max(line["t"] for line in own) + AROUND_S
    around = [
        line
        for line in lines
        if line["event"] in AROUND
        and line["node"] in nodes
        and begin <= line["t"] <= end
    ]
    for line in sorted([*own, *around], key=lambda line: line["t"]):
        print(_describe(line, is_own=line.get("request") == request))
    return ExitStatus.SUCCESS


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


def _nothing_found(request: str, count: int) -> str:
    if is_sampled(request):
        return (
            f"{request}: not found in {count} lines; are the logs of all nodes given?"
        )
    return (
        f"{request}: not found in {count} lines. It met no error: one in "
        f"{SAMPLED_ONE_IN} such requests is logged."
    )


def _describe(line: dict, *, is_own: bool) -> str:
    fields = " ".join(
        f"{key}={value}" for key, value in line.items() if key not in HIDDEN
    )
    mark = " " if is_own else "*"
    return f"{line['t']:.4f} {mark} {line['node']:24} {line['event']:18} {fields}"
