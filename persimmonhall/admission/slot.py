"""Manage the slot of one admitted request, which can release and reacquire it."""

from collections.abc import Callable

import trio
from returns.result import Failure, Result, Success

from persimmonhall.admission.admission import (
    Admission,
    AdmissionRequest,
    AdmittedRequest,
)
from persimmonhall.admission.messages import Outcome
from persimmonhall.errors import Refusal


class AdmittedSlot:
    """Hold the slot of one admitted request."""

    def __init__(
        self,
        admission: Admission,
        request: AdmissionRequest,
        admitted: AdmittedRequest,
        closed_refusal: Callable[[], Refusal | None],
    ):
        self._admission = admission
        self._request = request
        self._admitted: AdmittedRequest | None = admitted
        self._closed_refusal = closed_refusal
        self._sent_at: float | None = None

    @property
    def run_s(self) -> float:
        """Return the usual run time of such a request in seconds, 0 if unknown."""
        return self._admission.core.service_time_s(self._request.kind)

    def release(self) -> None:
        """Release the slot so that another request can use it."""
        self._finish_admitted(Outcome.NOT_RUN)

    def mark_sent(self) -> None:
        """Record that the request is now sent to the backend server."""
        self._sent_at = trio.current_time()

    def finish(self, outcome: Outcome) -> None:
        """Record the outcome; an unsent request is no sample of server latency."""
        if self._sent_at is not None:
            self._finish_admitted(outcome)
            return
        if outcome is Outcome.CANCELLED:
            self._admission.counters.cancelled[self._request.worth] += 1
        self._finish_admitted(Outcome.NOT_RUN)

    def _finish_admitted(self, outcome: Outcome) -> None:
        if self._admitted is not None:
            self._admission.finish(self._admitted, outcome, self._sent_at)
            self._admitted = None

    async def reacquire(self) -> Result[None, Refusal]:
        """Wait for admission again if the slot was released."""
        if self._admitted is not None:
            return Success(None)
        refusal = self._closed_refusal()
        if refusal is not None:
            self._admission.count_refusal(refusal, self._request.worth)
            return Failure(refusal)
        match await self._admission.admit(self._request):
            case Success(admitted):
                self._admitted = admitted
                return Success(None)
            case failure:
                return failure
