"""Look up organisations by the digests of their keys.

Digests are keyed with a secret of the process, so that neither the time of a look-up
nor a table that leaks tells anything about a key.
"""

import hashlib
import secrets
from collections.abc import Iterable

from persimmonhall.ids import KeyDigest
from persimmonhall.release.schema import Organisation

SECRET_BYTES = 32
DIGEST_BYTES = 16
_SECRET = secrets.token_bytes(SECRET_BYTES)


def digest_key(key: bytes) -> KeyDigest:
    """Return the digest of a key; no other process has the same one."""
    digest = hashlib.blake2b(key, digest_size=DIGEST_BYTES, key=_SECRET)
    return KeyDigest(digest.digest())


class Keyring:
    """Hold the organisations of one release by their keys."""

    def __init__(self, organisations: Iterable[Organisation] = ()):
        self._organisations = {
            digest_key(key.encode()): organisation
            for organisation in organisations
            for key in organisation.keys
        }

    @property
    def is_empty(self) -> bool:
        """Return whether there is no key."""
        return not self._organisations

    def find(self, digest: KeyDigest | None) -> Organisation | None:
        """Return the organisation that has a key, None if there is none."""
        return None if digest is None else self._organisations.get(digest)
