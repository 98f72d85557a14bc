"""Define all error kinds and the HTTP answer to each."""

import json
import random
from dataclasses import dataclass
from enum import Enum

from persimmonhall.http.messages import HttpAnswer

PROBLEM_TYPE_PREFIX = "urn:persimmonhall:error:"
RETRY_AFTER_JITTER_FRACTION = 0.5


class Ran(Enum):
    """Define whether a backend server ran the request."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class ErrorKind(Enum):
    """Define every error that a caller, operator or peer can receive."""

    BAD_REQUEST = "badRequest"
    HEADER_TOO_LARGE = "headerTooLarge"
    BODY_TOO_LARGE = "bodyTooLarge"
    UNKNOWN_SERVICE = "unknownService"
    UNKNOWN_REQUEST = "unknownRequest"
    NO_SERVER = "noServer"
    OVERLOADED = "overloaded"
    NODE_OVERLOADED = "nodeOverloaded"
    RATE_LIMITED = "rateLimited"
    QUOTA_EXCEEDED = "quotaExceeded"
    RELEASE_UNCONFIRMED = "releaseUnconfirmed"
    LEAVING = "leaving"
    RETRY_LIMIT = "retryLimit"
    DEADLINE_EXCEEDED = "deadlineExceeded"
    CANCELLED = "cancelled"
    CONNECT_FAILED = "connectFailed"
    CONNECTION_LOST = "connectionLost"
    ANSWER_CUT = "answerCut"
    ANSWER_TOO_LARGE = "answerTooLarge"
    NO_QUORUM = "noQuorum"
    KEY_RUNNING = "keyRunning"
    KEY_MISMATCH = "keyMismatch"
    OUTCOME_UNKNOWN = "outcomeUnknown"
    ANSWER_NOT_KEPT = "answerNotKept"
    QUARANTINED = "quarantined"
    INVALID_DOCUMENT = "invalidDocument"
    REVISION_CONFLICT = "revisionConflict"
    UNAUTHORIZED = "unauthorized"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "notFound"
    NOT_LEADER = "notLeader"
    STORAGE_FAILED = "storageFailed"
    NO_RELEASE = "noRelease"
    UNKNOWN_ROUTE = "unknownRoute"
    INVALID_RELEASE = "invalidRelease"
    RELEASE_CONFLICT = "releaseConflict"
    NOT_EXECUTED = "notExecuted"
    INTERNAL = "internal"


@dataclass(frozen=True)
class ErrorAnswer:
    """Define the HTTP answer to an error kind; `retry_after_s` 0 means no header."""

    status: int
    title: str
    ran: Ran
    retry_after_s: float = 0.0


ERROR_ANSWERS: dict[ErrorKind, ErrorAnswer] = {
    ErrorKind.BAD_REQUEST: ErrorAnswer(400, "Malformed request", Ran.NO),
    ErrorKind.HEADER_TOO_LARGE: ErrorAnswer(431, "Header too large", Ran.NO),
    ErrorKind.BODY_TOO_LARGE: ErrorAnswer(413, "Body too large", Ran.NO),
    ErrorKind.UNKNOWN_SERVICE: ErrorAnswer(404, "Unknown service", Ran.NO, 5.0),
    ErrorKind.UNKNOWN_REQUEST: ErrorAnswer(404, "Unknown request", Ran.NO),
    ErrorKind.NO_SERVER: ErrorAnswer(503, "No server for the service", Ran.NO, 2.0),
    ErrorKind.OVERLOADED: ErrorAnswer(503, "Service overloaded", Ran.NO, 2.0),
    ErrorKind.NODE_OVERLOADED: ErrorAnswer(503, "Node overloaded", Ran.NO, 2.0),
    ErrorKind.RATE_LIMITED: ErrorAnswer(503, "Rate limit reached", Ran.NO, 1.0),
    ErrorKind.QUOTA_EXCEEDED: ErrorAnswer(429, "Quota exceeded", Ran.NO, 1.0),
    ErrorKind.RELEASE_UNCONFIRMED: ErrorAnswer(
        503, "Release not confirmed", Ran.NO, 1.0
    ),
    ErrorKind.LEAVING: ErrorAnswer(503, "Server is leaving", Ran.NO, 1.0),
    ErrorKind.RETRY_LIMIT: ErrorAnswer(503, "Retry limit reached", Ran.NO, 2.0),
    ErrorKind.DEADLINE_EXCEEDED: ErrorAnswer(
        504, "Deadline exceeded", Ran.UNKNOWN, 2.0
    ),
    ErrorKind.CANCELLED: ErrorAnswer(499, "Caller went away", Ran.UNKNOWN),
    ErrorKind.CONNECT_FAILED: ErrorAnswer(502, "No connection", Ran.NO, 1.0),
    ErrorKind.CONNECTION_LOST: ErrorAnswer(502, "Connection lost", Ran.UNKNOWN, 1.0),
    ErrorKind.ANSWER_CUT: ErrorAnswer(502, "Answer was cut", Ran.YES, 1.0),
    ErrorKind.ANSWER_TOO_LARGE: ErrorAnswer(502, "Answer too large", Ran.YES),
    ErrorKind.NO_QUORUM: ErrorAnswer(503, "No quorum of control VMs", Ran.NO, 3.0),
    ErrorKind.KEY_RUNNING: ErrorAnswer(409, "Request is running", Ran.YES, 1.0),
    ErrorKind.KEY_MISMATCH: ErrorAnswer(422, "Key used for another request", Ran.NO),
    ErrorKind.OUTCOME_UNKNOWN: ErrorAnswer(409, "Outcome unknown", Ran.UNKNOWN),
    ErrorKind.ANSWER_NOT_KEPT: ErrorAnswer(409, "Answer is not kept", Ran.YES),
    ErrorKind.QUARANTINED: ErrorAnswer(503, "Request is quarantined", Ran.NO, 60.0),
    ErrorKind.INVALID_DOCUMENT: ErrorAnswer(422, "Invalid document", Ran.NO),
    ErrorKind.REVISION_CONFLICT: ErrorAnswer(409, "Revision conflict", Ran.NO),
    ErrorKind.UNAUTHORIZED: ErrorAnswer(401, "Unknown token", Ran.NO),
    ErrorKind.FORBIDDEN: ErrorAnswer(403, "Not your document", Ran.NO),
    ErrorKind.NOT_FOUND: ErrorAnswer(404, "Not found", Ran.NO),
    ErrorKind.NOT_LEADER: ErrorAnswer(503, "Not the leader", Ran.NO, 0.5),
    ErrorKind.STORAGE_FAILED: ErrorAnswer(507, "Storage failed", Ran.UNKNOWN, 5.0),
    ErrorKind.NO_RELEASE: ErrorAnswer(503, "No release in force yet", Ran.NO, 1.0),
    ErrorKind.UNKNOWN_ROUTE: ErrorAnswer(404, "No route for the request", Ran.NO),
    ErrorKind.INVALID_RELEASE: ErrorAnswer(400, "Invalid release", Ran.NO),
    ErrorKind.RELEASE_CONFLICT: ErrorAnswer(412, "Release conflict", Ran.NO),
    ErrorKind.NOT_EXECUTED: ErrorAnswer(503, "Not executed", Ran.NO, 1.0),
    ErrorKind.INTERNAL: ErrorAnswer(500, "Internal error", Ran.UNKNOWN),
}


@dataclass(frozen=True)
class Refusal:
    """Represent one error and whether a backend server ran the request."""

    kind: ErrorKind
    detail: str
    ran: Ran
    retry_after_s: float = 0.0


def refuse(
    kind: ErrorKind,
    detail: str,
    *,
    ran: Ran | None = None,
    retry_after_s: float | None = None,
) -> Refusal:
    """Return a refusal with the defaults of its kind."""
    answer = ERROR_ANSWERS[kind]
    return Refusal(
        kind=kind,
        detail=detail,
        ran=answer.ran if ran is None else ran,
        retry_after_s=answer.retry_after_s if retry_after_s is None else retry_after_s,
    )


def problem_answer(refusal: Refusal, rng: random.Random) -> HttpAnswer:
    """Convert a refusal to problem JSON with a jittered Retry-After header."""
    answer = ERROR_ANSWERS[refusal.kind]
    body = {
        "type": PROBLEM_TYPE_PREFIX + refusal.kind.value,
        "title": answer.title,
        "status": answer.status,
        "detail": refusal.detail,
        "ran": refusal.ran.value,
    }
    headers = [
        (b"content-type", b"application/problem+json"),
        (b"persimmonhall-ran", refusal.ran.value.encode()),
    ]
    if refusal.retry_after_s > 0:
        retry_after_s = refusal.retry_after_s * (
            1 + RETRY_AFTER_JITTER_FRACTION * rng.random()
        )
        body["retry_after_ms"] = round(retry_after_s * 1000)
        headers.append((b"retry-after", str(max(1, round(retry_after_s))).encode()))
    return HttpAnswer(answer.status, tuple(headers), json.dumps(body).encode())
