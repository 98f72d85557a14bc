"""Fingerprint requests by service, method, target and body."""

import struct

import xxhash

from persimmonhall.ids import Fingerprint, ServiceName

LENGTHS_STRUCT = struct.Struct("<III")


def fingerprint_of(
    service: ServiceName, method: str, target: str, body: bytes
) -> Fingerprint:
    """Return the hash of a request; headers are not part of it."""
    parts = (service.encode(), method.encode("latin-1"), target.encode("latin-1"))
    state = xxhash.xxh3_64(LENGTHS_STRUCT.pack(*map(len, parts)))
    for part in (*parts, body):
        state.update(part)
    return Fingerprint(state.intdigest())
