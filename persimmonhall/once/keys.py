"""Read or derive the idempotency key of a request."""

import re

from returns.result import Failure, Result, Success

from persimmonhall.errors import ErrorKind, Refusal, refuse
from persimmonhall.http.messages import HttpRequest
from persimmonhall.ids import Fingerprint, IdempotencyKey, RootId

IDEMPOTENCY_KEY_HEADER = b"idempotency-key"
MAX_KEY_LENGTH = 128
KEY_PATTERN = re.compile(rf'"?[A-Za-z0-9._~:/+=@-]{{1,{MAX_KEY_LENGTH}}}"?')
CALLER_PREFIX = "caller:"
DERIVED_PREFIX = "root:"


def get_idempotency_key(
    request: HttpRequest, root: RootId, fingerprint: Fingerprint
) -> Result[IdempotencyKey, Refusal]:
    """Return the caller's key, or one derived from the root request."""
    given = [value for name, value in request.headers if name == IDEMPOTENCY_KEY_HEADER]
    if not given:
        return Success(IdempotencyKey(f"{DERIVED_PREFIX}{root}:{fingerprint:016x}"))
    text = given[0].decode("latin-1")
    if len(given) > 1 or not KEY_PATTERN.fullmatch(text):
        detail = (
            f"Idempotency-Key must be one key of 1 to {MAX_KEY_LENGTH} letters, "
            "digits or . _ ~ : / + = @ -"
        )
        return Failure(refuse(ErrorKind.BAD_REQUEST, detail))
    return Success(IdempotencyKey(CALLER_PREFIX + text.strip('"')))


def is_derived(key: IdempotencyKey) -> bool:
    """Return whether the key was derived from the root request."""
    return key.startswith(DERIVED_PREFIX)
