"""Store the active release and accepted digests as replicated state."""

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
MAX_DIGESTS = 50_000  # 45 days of changes at the 1,100 a day of docs/CAPACITY.md
DIGESTS_PER_BLOCK = 2000
NO_RELEASE = HeldRelease(LogIndex(0), ReleaseVersion(0), b"")


class ReleaseTable:
    """Apply release commands in log order."""

    def __init__(self):
        self._current = NO_RELEASE
        # A dict preserves insertion order, so the oldest digest is dropped first.
        self._accepted: dict[ReleaseDigest, None] = {}

    @property
    def current(self) -> HeldRelease:
        """Return the active release; its text is empty before the first."""
        return self._current

    @property
    def count(self) -> int:
        """Return the number of stored digests."""
        return len(self._accepted)

    def put(self, command: PutRelease, index: LogIndex) -> PutReleaseReply:
        """Accept a release based on the active version; accept resends again."""
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
        """Encode the table as of the call, some digests in each block."""
        return _encode_blocks(self._current, tuple(self._accepted))

    def restore(self, block: bytes) -> None:
        """Add the rows of the next block of an encoded table."""
        state = decode(SCHEMA.ReleaseState, ReleaseState, block)
        self._current = state.current
        self._accepted.update(dict.fromkeys(state.accepted))


def _encode_blocks(current: HeldRelease, digests: tuple) -> Iterator[bytes]:
    for start in range(0, max(1, len(digests)), DIGESTS_PER_BLOCK):
        rows = digests[start : start + DIGESTS_PER_BLOCK]
        yield encode(SCHEMA.ReleaseState, ReleaseState(current, rows))
