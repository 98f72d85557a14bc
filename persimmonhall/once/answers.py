"""Turn the reply to a claim into an answer or a refusal."""

from collections.abc import Callable

import xxhash
from returns.result import Failure, Result, Success

from persimmonhall.call.messages import flatten_headers, pair_headers
from persimmonhall.errors import ErrorKind, Refusal, refuse
from persimmonhall.http.messages import HttpAnswer
from persimmonhall.ids import NodeName
from persimmonhall.once.messages import ClaimOutcome, ClaimReply, KeptAnswer

MAX_KEPT_ANSWER_BYTES = 16 * 1024
FULL_RETRY_AFTER_S = 60.0
REPLAYED_HEADER = (b"persimmonhall-replayed", b"true")

IsLive = Callable[[NodeName, int], bool]


def keep_answer(answer: HttpAnswer) -> KeptAnswer:
    """Keep a small answer whole and of a larger one what identifies it."""
    headers = flatten_headers(answer.headers)
    size = len(answer.body) + sum(map(len, headers))
    whole = size <= MAX_KEPT_ANSWER_BYTES
    return KeptAnswer(
        status=answer.status,
        headers=headers if whole else (),
        body=answer.body if whole else b"",
        size=len(answer.body),
        digest=xxhash.xxh3_64_intdigest(answer.body),
        whole=whole,
    )


def is_replayed(answer: HttpAnswer) -> bool:
    """Tell whether an answer was kept from an earlier run."""
    return REPLAYED_HEADER in answer.headers


def answer_without_run(
    reply: ClaimReply, is_live: IsLive
) -> Result[HttpAnswer, Refusal]:
    """Answer a request whose claim was not granted."""
    match reply.outcome:
        case ClaimOutcome.FINISHED:
            return _replay(reply.answer)
        case ClaimOutcome.RUNNING if is_live(reply.holder, reply.incarnation):
            detail = f"a request with this key runs at {reply.holder}"
            return Failure(refuse(ErrorKind.KEY_RUNNING, detail))
        case ClaimOutcome.MISMATCH:
            detail = "another request was sent with this key"
            return Failure(refuse(ErrorKind.KEY_MISMATCH, detail))
        case ClaimOutcome.FULL:
            return Failure(
                refuse(
                    ErrorKind.OVERLOADED,
                    "the table of idempotency keys is full",
                    retry_after_s=FULL_RETRY_AFTER_S,
                )
            )
        case ClaimOutcome.WITHDRAWN:
            detail = "the claim of the key was withdrawn"
            return Failure(refuse(ErrorKind.NO_QUORUM, detail))
    detail = f"a request with this key was started at {reply.holder}; no answer is kept"
    return Failure(refuse(ErrorKind.OUTCOME_UNKNOWN, detail))


def _replay(kept: KeptAnswer) -> Result[HttpAnswer, Refusal]:
    if kept.whole:
        headers = (*pair_headers(kept.headers), REPLAYED_HEADER)
        return Success(HttpAnswer(kept.status, headers, kept.body))
    detail = (
        f"the request ran and was answered with status {kept.status} and "
        f"{kept.size} bytes (xxh3 {kept.digest:016x}); the answer is not kept"
    )
    return Failure(refuse(ErrorKind.ANSWER_NOT_KEPT, detail))
