"""Map the result of a call to its outcome for admission."""

from returns.result import Failure, Result, Success

from persimmonhall.admission.messages import Outcome
from persimmonhall.errors import ErrorKind, Refusal
from persimmonhall.http.messages import HttpAnswer
from persimmonhall.once.answers import is_replayed

SERVICE_UNAVAILABLE_STATUS = 503
NOT_SENT_ERRORS = frozenset(
    {
        ErrorKind.NO_SERVER,
        ErrorKind.NO_QUORUM,
        ErrorKind.KEY_RUNNING,
        ErrorKind.KEY_MISMATCH,
        ErrorKind.OUTCOME_UNKNOWN,
        ErrorKind.ANSWER_NOT_KEPT,
        ErrorKind.QUARANTINED,
        ErrorKind.DEADLINE_EXCEEDED,
        ErrorKind.OVERLOADED,
    }
)


def run_outcome(result: Result[HttpAnswer, Refusal]) -> Outcome:
    """Return the outcome of an admitted call."""
    match result:
        case Success(answer) if is_replayed(answer):
            return Outcome.NOT_RUN
        case Success(answer):
            return (
                Outcome.SHED
                if answer.status == SERVICE_UNAVAILABLE_STATUS
                else Outcome.DONE
            )
        case Failure(refusal) if refusal.kind in NOT_SENT_ERRORS:
            return Outcome.NOT_RUN
        case _:
            return Outcome.FAILED
