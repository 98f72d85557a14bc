"""Define the document of a service and validate its text."""

import re
from dataclasses import dataclass
from enum import Enum

from returns.result import Failure, Result, Success

from persimmonhall.ids import ServiceName
from persimmonhall.settings import NAME_PATTERN
from persimmonhall.table_reader import Problem, bounded, read_toml

PATH_PATTERN = r"/[^\s?#]*"
METHOD_PATTERN = r"\*|[A-Z]{1,16}"
DAY_MS = 24 * 3600 * 1000
DAY_S = 24 * 3600
MIN_RESEND_WINDOW_S = 60
MAX_RETRIES = 5
MAX_ANSWER_BYTES = 64 * 1024 * 1024


class Worth(Enum):
    """Rank requests on one scale shared by all teams, highest first."""

    CRITICAL = "critical"
    CUSTOMER = "customer"
    STANDARD = "standard"
    INTERNAL = "internal"

    @property
    def rank(self) -> int:
        """Return the position on the scale, 0 for the highest worth."""
        return _RANKS[self]


_RANKS = {worth: rank for rank, worth in enumerate(Worth)}


@dataclass(frozen=True)
class RequestRule:
    """Define the worth and limits of the requests of one method and path."""

    path: str = bounded(pattern=PATH_PATTERN)
    method: str = bounded("*", pattern=METHOD_PATTERN)
    worth: Worth = Worth.STANDARD
    idempotent: bool = False
    deadline_ms: int = bounded(2000, min_value=10, max_value=DAY_MS)
    retries: int = bounded(1, min_value=0, max_value=MAX_RETRIES)
    resend_window_s: int = bounded(
        DAY_S, min_value=MIN_RESEND_WINDOW_S, max_value=DAY_S
    )
    max_answer_bytes: int = bounded(
        16 * 1024 * 1024, min_value=1, max_value=MAX_ANSWER_BYTES
    )

    def matches(self, method: str, path: str) -> bool:
        """Return whether a request matches this rule."""
        if self.method not in ("*", method):
            return False
        if self.path.endswith("*"):
            return path.startswith(self.path[:-1])
        return path == self.path


@dataclass(frozen=True)
class Document:
    """Define how a service may be called."""

    service: ServiceName = bounded(pattern=NAME_PATTERN)
    team: str = bounded(pattern=NAME_PATTERN)
    requests: tuple[RequestRule, ...]
    critical_per_second: float = bounded(0.0, min_value=0.0)

    def rule_for(self, method: str, target: str) -> RequestRule | None:
        """Return the first rule that matches a request."""
        path = re.split(r"[?#]", target, maxsplit=1)[0]
        for rule in self.requests:
            if rule.matches(method, path):
                return rule
        return None


def parse_document(text: str) -> Result[Document, tuple[Problem, ...]]:
    """Validate a document and return it, or every problem found."""
    match read_toml(Document, text):
        case Success(document):
            problems = _find_problems(document, text)
            return Failure(problems) if problems else Success(document)
        case failure:
            return failure


def _find_problems(document: Document, text: str) -> tuple[Problem, ...]:
    problems = []
    header_lines = [n for n, line in enumerate(text.splitlines(), 1) if "[[" in line]
    for number, rule in enumerate(document.requests):
        line = header_lines[number] if number < len(header_lines) else 1
        for earlier in document.requests[:number]:
            if _covers(earlier, rule):
                detail = f"unreachable: {earlier.method} {earlier.path} matches first"
                problems.append(Problem(f"requests.{number}", line, detail))
                break
    if not document.requests:
        problems.append(Problem("requests", 1, "must list at least one request"))
    return tuple(problems)


def _covers(earlier: RequestRule, later: RequestRule) -> bool:
    if earlier.method not in ("*", later.method):
        return False
    if earlier.path.endswith("*"):
        return later.path.rstrip("*").startswith(earlier.path[:-1])
    return earlier.path == later.path
