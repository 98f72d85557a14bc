"""Convert answers to their stored form and claim replies to answers or refusals."""

from collections.abc import Callable

import xxhash
from returns.result import Failure, Result, Success

from persimmonhall.call.messages import flatten_headers, pair_headers
from persimmonhall.errors import ErrorKind, Refusal, refuse
from persimmonhall.http.messages import HttpAnswer
from persimmonhall.ids import NodeName
from persimmonhall.once.messages import ClaimOutcome, ClaimReply, KeptAnswer

MAX_STORED_ANSWER_BYTES = 16 * 1024
TABLE_FULL_RETRY_AFTER_S = 60.0
REPLAYED_HEADER = (b"persimmonhall-replayed", b"true")

IsLive = Callable[[NodeName, int], bool]


def to_stored_answer(answer: HttpAnswer) -> KeptAnswer:
    """Store a small answer whole, of a larger one only its status, size and digest."""
    headers = flatten_headers(answer.headers)
    size = len(answer.body) + sum(map(len, headers))
    whole = size <= MAX_STORED_ANSWER_BYTES
    return KeptAnswer(
        status=answer.status,
        headers=headers if whole else (),
        body=answer.body if whole else b"",
        size=len(answer.body),
        digest=xxhash.xxh3_64_intdigest(answer.body),
        whole=whole,
    )


def is_replayed(answer: HttpAnswer) -> bool:
    """Return whether an answer is the stored answer of an earlier run."""
    return REPLAYED_HEADER in answer.headers


def resolve_ungranted_claim(
    reply: ClaimReply, is_live: IsLive
) -> Result[HttpAnswer, Refusal]:
    """Return the stored answer or a refusal for a claim that was not granted."""
    match reply.outcome:
        case ClaimOutcome.FINISHED:
            return _replay(reply.answer)
        case ClaimOutcome.RUNNING if is_live(reply.holder, reply.incarnation):
            detail = f"a request with this key is running at {reply.holder}"
            return Failure(refuse(ErrorKind.KEY_RUNNING, detail))
        case ClaimOutcome.MISMATCH:
            detail = "this key was already used for a different request"
            return Failure(refuse(ErrorKind.KEY_MISMATCH, detail))
        case ClaimOutcome.FULL:
            return Failure(
                refuse(
                    ErrorKind.OVERLOADED,
                    "the table of idempotency keys is full",
                    retry_after_s=TABLE_FULL_RETRY_AFTER_S,
                )
            )
        case ClaimOutcome.WITHDRAWN:
            detail = "the claim of the key was withdrawn"
            return Failure(refuse(ErrorKind.NO_QUORUM, detail))
    detail = f"a request with this key started at {reply.holder}; no answer is stored"
    return Failure(refuse(ErrorKind.OUTCOME_UNKNOWN, detail))


def _replay(stored: KeptAnswer) -> Result[HttpAnswer, Refusal]:
    if stored.whole:
        headers = (*pair_headers(stored.headers), REPLAYED_HEADER)
        return Success(HttpAnswer(stored.status, headers, stored.body))
    detail = (
        f"the request ran and was answered with status {stored.status} and "
        f"{stored.size} bytes (xxh3 {stored.digest:016x}); the answer is not stored"
    )
    return Failure(refuse(ErrorKind.ANSWER_NOT_KEPT, detail))
