"""Keep the release in force and every accepted digest as replicated state."""

from collections.abc import Iterator
from pathlib import Path

from persimmonhall.ids import LogIndex, ReleaseDigest, ReleaseVersion
from persimmonhall.release.messages import (
    HeldRelease,
    PutRelease,
    PutReleaseReply,
    ReleaseOutcome,
    ReleaseState,
)
from persimmonhall.wire.codec import decode, encode, load_schema

SCHEMA = load_schema(Path(__file__).with_name("table.capnp"))
MAX_DIGESTS = 50_000  # years of changes at the 1,100 a day of docs/CAPACITY.md
DIGESTS_A_BLOCK = 2000
NO_RELEASE = HeldRelease(LogIndex(0), ReleaseVersion(0), b"")


class ReleaseTable:
    """Apply release commands in log order."""

    def __init__(self):
        self._current = NO_RELEASE
        # A dict keeps the order in which the digests came.
        self._accepted: dict[ReleaseDigest, None] = {}

    @property
    def current(self) -> HeldRelease:
        """Return the release in force; its text is empty before the first."""
        return self._current

    @property
    def count(self) -> int:
        """Return the number of rows."""
        return len(self._accepted)

    def put(self, command: PutRelease, index: LogIndex) -> PutReleaseReply:
        """Accept a release on the version in force; a known one is accepted again."""
        current = self._current.version
        if command.digest in self._accepted:
            return PutReleaseReply(ReleaseOutcome.ACCEPTED, current)
        if command.base != current:
            return PutReleaseReply(ReleaseOutcome.CONFLICT, current)
        if command.version <= current:
            return PutReleaseReply(ReleaseOutcome.NOT_NEWER, current)
        self._current = HeldRelease(index, command.version, command.text)
        self._accepted[command.digest] = None
        if len(self._accepted) > MAX_DIGESTS:
            del self._accepted[next(iter(self._accepted))]
        return PutReleaseReply(ReleaseOutcome.ACCEPTED, command.version)

    def blocks(self) -> Iterator[bytes]:
        """Write the table as it stands at the call, some digests at a time."""
        return _blocks(self._current, tuple(self._accepted))

    def restore(self, block: bytes) -> None:
        """Take over the next block of a written table."""
        state = decode(SCHEMA.ReleaseState, ReleaseState, block)
        self._current = state.current
        self._accepted.update(dict.fromkeys(state.accepted))


def _blocks(current: HeldRelease, digests: tuple) -> Iterator[bytes]:
    for start in range(0, max(1, len(digests)), DIGESTS_A_BLOCK):
        rows = digests[start : start + DIGESTS_A_BLOCK]
        yield encode(SCHEMA.ReleaseState, ReleaseState(current, rows))
