"""Serve the operator's quarantine endpoints on a node's loopback API."""

import json
import re

from returns.result import Failure, Result, Success

from persimmonhall.errors import ErrorKind, Refusal, refuse
from persimmonhall.http.messages import HttpAnswer
from persimmonhall.ids import Fingerprint
from persimmonhall.once.quarantine import Quarantine

QUARANTINE_PATH = "quarantine"
JSON_CONTENT_TYPE = (b"content-type", b"application/json")
FINGERPRINT_PATTERN = re.compile(r"[0-9a-f]{16}")


class QuarantineApi:
    """Handle requests below the quarantine path."""

    def __init__(self, quarantine: Quarantine):
        self._quarantine = quarantine

    def handle(self, method: str, path: str) -> Result[HttpAnswer, Refusal]:
        """List the suspects, or lift the quarantine of the fingerprint in the path."""
        match (method, *path.split("/")):
            case ("GET", "quarantine"):
                return Success(self._list())
            case ("DELETE", "quarantine", text):
                return self._lift(text)
        return Failure(refuse(ErrorKind.NOT_FOUND, f"no resource for {method} {path}"))

    def _list(self) -> HttpAnswer:
        rows = [
            {
                "fingerprint": f"{suspect.fingerprint:016x}",
                "service": suspect.service,
                "request": suspect.request,
                "state": suspicion.value,
                "seconds_left": round(seconds_left),
                "deaths": [d.id for d in suspect.deaths if not d.cleared],
            }
            for suspect, suspicion, seconds_left in self._quarantine.list()
        ]
        return HttpAnswer(200, (JSON_CONTENT_TYPE,), json.dumps(rows).encode())

    def _lift(self, fingerprint_text: str) -> Result[HttpAnswer, Refusal]:
        if not FINGERPRINT_PATTERN.fullmatch(fingerprint_text):
            detail = (
                f"{fingerprint_text!r} is not a fingerprint "
                "(16 lower-case hexadecimal digits)"
            )
            return Failure(refuse(ErrorKind.BAD_REQUEST, detail))
        if not self._quarantine.lift(Fingerprint(int(fingerprint_text, 16))):
            return Failure(
                refuse(ErrorKind.NOT_FOUND, f"{fingerprint_text} is not a suspect")
            )
        body = json.dumps({"lifted": fingerprint_text}).encode()
        return Success(HttpAnswer(200, (JSON_CONTENT_TYPE,), body))
