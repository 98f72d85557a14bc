"""Classify how a request ended."""

import json

from persimmonhall.http.messages import HttpAnswer


def answer_outcome(answer: HttpAnswer) -> str:
    """Return the problem kind of an answer, or its status if it has none."""
    if answer.header(b"content-type") == "application/problem+json":
        return json.loads(answer.body)["type"].rpartition(":")[2]
    return str(answer.status)
