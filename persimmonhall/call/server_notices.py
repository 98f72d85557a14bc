"""Read and track what a backend server instance states about itself in its answers."""

import math
import re
from typing import NamedTuple

from persimmonhall.dialect import HeaderNames, InstanceReport
from persimmonhall.http.messages import Headers
from persimmonhall.ids import InstanceId

DECIMAL = re.compile(rb"[0-9]{1,15}(?:\.[0-9]{0,15})?|\.[0-9]{1,15}")
LEAVING_VALUE = b"1"


class ServerNotice(NamedTuple):
    """Represent a statement of an instance; the limit is in requests per second."""

    rate_limit: float | None = None
    is_leaving: bool = False


NO_NOTICE = ServerNotice()
NO_INSTANCE = InstanceId("")


class InvalidNoticeError(Exception):
    """Signal a statement that cannot be read; what was stated before holds."""


def read_notice(headers: Headers, names: HeaderNames) -> ServerNotice:
    """Read the statement in an answer's headers; raise InvalidNoticeError."""
    rate_limit: float | None = None
    is_leaving = False
    for name, value in headers:
        if name == names.rate_limit:
            if DECIMAL.fullmatch(value) is None:
                raise InvalidNoticeError(f"{value[:40]!r} is not a decimal number")
            # The lowest of several limits satisfies each of them.
            rate_limit = min(
                float(value), math.inf if rate_limit is None else rate_limit
            )
        elif name == names.leaving:
            if value != LEAVING_VALUE:
                raise InvalidNoticeError(f"{value[:40]!r} is not {LEAVING_VALUE!r}")
            is_leaving = True
    return ServerNotice(rate_limit, is_leaving)


class ServerNotices:
    """Track the notice in force for one incarnation of an instance."""

    def __init__(self, instance: InstanceId = NO_INSTANCE, born_ms: int = 0):
        self._instance = instance
        self._born_ms = born_ms
        self._notice = NO_NOTICE
        self._limited_at = -math.inf

    @property
    def instance(self) -> InstanceId:
        """Return the id of the instance."""
        return self._instance

    @property
    def current(self) -> ServerNotice:
        """Return the notice in force."""
        return self._notice

    def is_about(self, report: InstanceReport) -> bool:
        """Return whether the report is of this incarnation."""
        return (report.instance, report.born_ms) == (self._instance, self._born_ms)

    def record(self, notice: ServerNotice, sent_at: float, now: float) -> bool:
        """Record the notice in the answer to a request; return whether it changed."""
        previous = self._notice
        rate_limit = notice.rate_limit
        if rate_limit is not None:
            self._limited_at = now
        elif sent_at < self._limited_at:
            # The server may have written this answer before it first stated a limit.
            rate_limit = previous.rate_limit
        self._notice = ServerNotice(
            rate_limit, previous.is_leaving or notice.is_leaving
        )
        return self._notice != previous
