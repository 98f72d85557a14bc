"""Encode refusals of routed requests as HTTP answers."""

import json

from persimmonhall.errors import ERROR_ANSWERS, PROBLEM_TYPE_PREFIX, Ran, Refusal
from persimmonhall.http.messages import FIRST_SERVER_ERROR_STATUS, HttpAnswer

NOT_RUN_STATUS = 503
MAY_HAVE_RUN_STATUS = 502


def refusal_status(refusal: Refusal) -> int:
    """Return the HTTP status; 503 means that the request has not run and never will."""
    status = ERROR_ANSWERS[refusal.kind].status
    if refusal.ran is Ran.NO:
        return NOT_RUN_STATUS if status >= FIRST_SERVER_ERROR_STATUS else status
    return MAY_HAVE_RUN_STATUS if status == NOT_RUN_STATUS else status


def refusal_answer(refusal: Refusal) -> HttpAnswer:
    """Return a problem JSON answer; Retry-After may be a fraction of a second."""
    status = refusal_status(refusal)
    body = {
        "type": PROBLEM_TYPE_PREFIX + refusal.kind.value,
        "title": ERROR_ANSWERS[refusal.kind].title,
        "status": status,
        "detail": refusal.detail,
        "ran": refusal.ran.value,
    }
    headers = [
        (b"content-type", b"application/problem+json"),
        (b"persimmonhall-ran", refusal.ran.value.encode()),
    ]
    if refusal.ran is Ran.NO and refusal.retry_after_s > 0:
        headers.append((b"retry-after", b"%.3f" % refusal.retry_after_s))
    return HttpAnswer(status, tuple(headers), json.dumps(body).encode())
