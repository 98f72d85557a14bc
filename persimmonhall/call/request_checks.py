"""Define the checks that may refuse a request before it is sent to a server."""

from collections.abc import Sequence
from typing import NamedTuple, Protocol

from persimmonhall.call.crash_suspects import CrashSuspects
from persimmonhall.call.in_flight_request import InFlightRequest
from persimmonhall.call.shutdown_window import ShutdownWindow
from persimmonhall.errors import ErrorKind, Ran
from persimmonhall.routing.response_times import ResponseTimes


class CheckRefusal(NamedTuple):
    """Describe why a request is refused, with the values that decided it."""

    kind: ErrorKind
    detail: str
    inputs: dict[str, object]
    # By default a fraction of the latency objective of the route.
    retry_after_s: float | None = None


class RequestCheck(Protocol):
    """Decide whether a request is refused before it is sent to a server."""

    def refusal(self, request: InFlightRequest, now: float) -> CheckRefusal | None:
        """Return why a request is refused, None if it is admitted."""


class RequestObserver(Protocol):
    """Follow the requests that all checks have admitted."""

    def request_admitted(self, request: InFlightRequest, now: float) -> None:
        """Record that a request is about to be sent to a server."""

    def request_ended(self, request: InFlightRequest, ran: Ran, now: float) -> None:
        """Record that an admitted request has its final answer or was abandoned."""


class EntryChecks(NamedTuple):
    """Group the checks of an entry by when they are made.

    Those of `at_head` must not count a request: they are made while its body is still
    arriving, and those of `at_start` again once it is complete. Those of `at_send` are
    made before each send.
    """

    at_head: Sequence[RequestCheck] = ()
    at_start: Sequence[RequestCheck] = ()
    at_send: Sequence[RequestCheck] = ()


class QuarantineCheck:
    """Refuse requests that were running when several servers died."""

    def __init__(self, suspects: CrashSuspects):
        self._suspects = suspects

    def refusal(self, request: InFlightRequest, now: float) -> CheckRefusal | None:
        """Return why a request is refused, None if it is not quarantined."""
        refusal = self._suspects.refusal(request.service, request.head, request.body)
        if refusal is None:
            return None
        return CheckRefusal(refusal.kind, refusal.detail, {})


class ShutdownCheck:
    """Refuse requests that may still run when the process ends."""

    def __init__(self, window: ShutdownWindow, response_times: ResponseTimes):
        self._window = window
        self._response_times = response_times

    def refusal(self, request: InFlightRequest, now: float) -> CheckRefusal | None:
        """Return why a request is refused, None if it can finish."""
        if not self._window.is_set:
            return None
        expected_s = self._response_times.timeout_s(request.route.name)
        if self._window.may_finish(request.deadline, expected_s, now):
            return None
        detail = "this node shuts down before the request could finish"
        return CheckRefusal(
            ErrorKind.LEAVING, detail, {"expected_s": round(expected_s, 3)}
        )
