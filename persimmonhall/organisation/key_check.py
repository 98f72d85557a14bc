"""Refuse requests whose key is missing, unknown or possibly withdrawn."""

import random

from persimmonhall.call.in_flight_request import InFlightRequest
from persimmonhall.call.request_checks import CheckRefusal
from persimmonhall.errors import ErrorKind
from persimmonhall.organisation.active_keys import ActiveKeys
from persimmonhall.organisation.release_proof import ReleaseProof
from persimmonhall.release.active import ActiveRelease

MIN_RETRY_AFTER_S = 0.5
MAX_RETRY_AFTER_S = 1.5


class KeyCheck:
    """Admit requests of public routes, and others whose key the release has.

    It is repeated before each send: a key may be withdrawn, or this node lose the proof
    of its release, while a request waits.
    """

    def __init__(
        self,
        releases: ActiveRelease,
        keys: ActiveKeys,
        proof: ReleaseProof,
        rng: random.Random,
    ):
        self._releases = releases
        self._keys = keys
        self._proof = proof
        self._rng = rng

    def refusal(self, request: InFlightRequest, now: float) -> CheckRefusal | None:
        """Return why a request is refused, None if its key is valid."""
        if request.route.is_public or not self._keys.are_required:
            return None
        index = self._releases.index
        if self._keys.keyring.find(request.key_digest) is not None:
            if self._proof.holds(index):
                return None
        elif self._proof.is_fresh(index):
            has_key = request.key_digest is not None
            detail = "unknown key" if has_key else "no key"
            return CheckRefusal(ErrorKind.UNAUTHORIZED, detail, {}, 0.0)
        detail = "no control VM has confirmed in time that the release is the newest"
        retry_after_s = self._rng.uniform(MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S)
        return CheckRefusal(
            ErrorKind.RELEASE_UNCONFIRMED, detail, {"release": index}, retry_after_s
        )
