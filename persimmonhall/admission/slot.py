"""Manage the slot of one admitted request, which can release and reacquire it."""

from collections.abc import Callable

import trio
from returns.result import Failure, Result, Success

from persimmonhall.admission.admission import Admission, Admitted, Asked
from persimmonhall.admission.messages import Outcome
from persimmonhall.errors import Refusal


class AdmittedSlot:
    """Hold the slot of one admitted request."""

    def __init__(
        self,
        admission: Admission,
        asked: Asked,
        admitted: Admitted,
        refusal: Callable[[], Refusal | None],
    ):
        self._admission = admission
        self._asked = asked
        self._admitted: Admitted | None = admitted
        self._refusal = refusal
        self._sent: float | None = None

    @property
    def run_s(self) -> float:
        """Return the usual run time of such a request in seconds, 0 if unknown."""
        return self._admission.core.run_s(self._asked.kind)

    def give_back(self) -> None:
        """Release the slot so that another request can use it."""
        self._free(Outcome.NOT_RUN)

    def begin(self) -> None:
        """Record that the request is now sent to the backend server."""
        self._sent = trio.current_time()

    def finish(self, outcome: Outcome) -> None:
        """Record the outcome; an unsent request is no sample of server latency."""
        if self._sent is not None:
            self._free(outcome)
            return
        if outcome is Outcome.CANCELLED:
            self._admission.counters.cancelled[self._asked.worth] += 1
        self._free(Outcome.NOT_RUN)

    def _free(self, outcome: Outcome) -> None:
        if self._admitted is not None:
            self._admission.finish(self._admitted, outcome, self._sent)
            self._admitted = None

    async def take_again(self) -> Result[None, Refusal]:
        """Wait for admission again if the slot was released."""
        if self._admitted is not None:
            return Success(None)
        refusal = self._refusal()
        if refusal is not None:
            self._admission.count_refusal(refusal, self._asked.worth)
            return Failure(refusal)
        match await self._admission.admit(self._asked):
            case Success(admitted):
                self._admitted = admitted
                return Success(None)
            case failure:
                return failure
