"""Read and track what a backend server instance states about itself in its answers.

A gate that restarts has forgotten what its server stated, and a limited or leaving
server must not get calls until its next answer. Each reply therefore carries the notice
in force, the entry remembers it for the node, and its next calls remind the gate.
"""

import math
import re
from typing import NamedTuple

from persimmonhall.dialect import HeaderNames, InstanceReport
from persimmonhall.http.messages import Headers
from persimmonhall.ids import InstanceId, NodeName

DECIMAL = re.compile(rb"[0-9]{1,15}(?:\.[0-9]{0,15})?|\.[0-9]{1,15}")
LEAVING_VALUE = b"1"
MAX_REMEMBERED_NODES = 2000
MAX_NOTICE_BYTES = 1024


class ServerNotice(NamedTuple):
    """Represent a statement of an instance; the limit is in requests per second."""

    rate_limit: float | None = None
    is_leaving: bool = False


NO_NOTICE = ServerNotice()
NO_INSTANCE = InstanceId("")


class InvalidNoticeError(Exception):
    """Signal a rate limit that cannot be read; the limit stated before holds."""

    def __init__(self, detail: str, *, is_leaving: bool):
        super().__init__(detail)
        self.is_leaving = is_leaving


def has_notice(headers: Headers, names: HeaderNames) -> bool:
    """Return whether an answer states anything."""
    notice_names = (names.rate_limit, names.leaving)
    return any(name in notice_names for name, _ in headers)


def read_notice(headers: Headers, names: HeaderNames) -> ServerNotice:
    """Read the statement in an answer's headers; raise InvalidNoticeError."""
    is_leaving = (names.leaving, LEAVING_VALUE) in headers
    rates = [value for name, value in headers if name == names.rate_limit]
    for value in rates:
        if DECIMAL.fullmatch(value) is None:
            detail = f"{value[:40]!r} is not a decimal number"
            raise InvalidNoticeError(detail, is_leaving=is_leaving)
    # The lowest of several limits satisfies each of them.
    return ServerNotice(min(map(float, rates), default=None), is_leaving)


class ServerNotices:
    """Track the notice in force for one incarnation of an instance."""

    def __init__(self, instance: InstanceId = NO_INSTANCE, born_ms: int = 0):
        self._instance = instance
        self._born_ms = born_ms
        self._notice = NO_NOTICE
        self._encoded = b""
        self._limited_at = -math.inf
        self._has_answered = False

    @property
    def instance(self) -> InstanceId:
        """Return the id of the instance."""
        return self._instance

    @property
    def current(self) -> ServerNotice:
        """Return the notice in force."""
        return self._notice

    @property
    def encoded(self) -> bytes:
        """Return the notice for replies; empty if the instance states nothing."""
        return self._encoded

    def is_about(self, report: InstanceReport) -> bool:
        """Return whether the report is of this incarnation."""
        return (report.instance, report.born_ms) == (self._instance, self._born_ms)

    def record_none(self) -> bool:
        """Record an answer without a notice; return False if one is in force."""
        self._has_answered = True
        return self._notice is NO_NOTICE

    def record(self, notice: ServerNotice, sent_at: float, now: float) -> bool:
        """Record the notice in the answer to a request; return whether it changed."""
        self._has_answered = True
        previous = self._notice
        rate_limit = notice.rate_limit
        if rate_limit is not None:
            self._limited_at = now
        elif sent_at < self._limited_at:
            # The server may have written this answer before it first stated a limit.
            rate_limit = previous.rate_limit
        return self._set(
            ServerNotice(rate_limit, previous.is_leaving or notice.is_leaving)
        )

    def recall(self, encoded: bytes, now: float) -> bool:
        """Apply what an entry remembers of the instance; return whether it changed.

        Answers are more recent than what entries remember, but leaving is final.
        """
        if encoded == self._encoded:
            return False
        try:
            born_ms, rate, leaving, instance = encoded.decode().split(" ", 3)
            notice = ServerNotice(float(rate) if rate else None, leaving == "1")
            if notice.rate_limit is not None and not math.isfinite(notice.rate_limit):
                return False
            is_about_this = (instance, int(born_ms)) == (self._instance, self._born_ms)
        except ValueError:
            return False
        if not is_about_this:
            return False
        rate_limit = self._notice.rate_limit
        if not self._has_answered and notice.rate_limit is not None:
            rate_limit = notice.rate_limit
            self._limited_at = now
        is_leaving = self._notice.is_leaving or notice.is_leaving
        return self._set(ServerNotice(rate_limit, is_leaving))

    def _set(self, notice: ServerNotice) -> bool:
        if notice == self._notice:
            return False
        self._notice = NO_NOTICE if notice == NO_NOTICE else notice
        rate = "" if notice.rate_limit is None else repr(notice.rate_limit)
        text = f"{self._born_ms} {rate} {notice.is_leaving:d} {self._instance}"
        encoded = b"" if self._notice is NO_NOTICE else text.encode()
        self._encoded = encoded if len(encoded) <= MAX_NOTICE_BYTES else b""
        return True


class NoticeMemory:
    """Remember the notices in the replies of gates to remind them after a restart."""

    def __init__(self):
        self._notices: dict[NodeName, bytes] = {}

    @property
    def is_empty(self) -> bool:
        """Return whether no server states anything."""
        return not self._notices

    def recall(self, node: NodeName) -> bytes:
        """Return the last notice of a node's server, empty if it stated nothing."""
        return self._notices.get(node, b"")

    def record(self, node: NodeName, notice: bytes, *, is_answer: bool) -> None:
        """Record the notice of a reply; only an answer shows that none is in force."""
        if notice:
            if len(self._notices) >= MAX_REMEMBERED_NODES and node not in self._notices:
                del self._notices[next(iter(self._notices))]
            self._notices[node] = notice
        elif is_answer:
            self._notices.pop(node, None)
