"""Apply commands to a small state that grants each revision of a key once."""

import json
import zlib

from persimmonhall.ids import LogIndex
from persimmonhall.raft.messages import Entry, EntryKind, Snapshot

SNAPSHOT_PART_BYTES = 300


class RevisionMachine:
    """Store revisions, the first answer to each change and a history checksum."""

    def __init__(self):
        self.index = LogIndex(0)
        self.checksum = 0
        self._revisions: dict[str, int] = {}
        self._answers: dict[str, str] = {}

    def apply(self, entry: Entry) -> str:
        """Apply one entry and return its answer."""
        if entry.index != self.index + 1:
            raise AssertionError(f"applied {entry.index} after {self.index}")
        self.index = entry.index
        text = b"%d %d " % (entry.index, entry.term) + entry.data
        self.checksum = zlib.crc32(text, self.checksum)
        if entry.kind is not EntryKind.COMMAND:
            return ""
        change, key, expected_revision = entry.data.decode().split()
        answer = self._answers.get(change)
        if answer is None:
            answer = self._answers[change] = self._decide(key, int(expected_revision))
        return answer

    def _decide(self, key: str, expected_revision: int) -> str:
        current = self._revisions.get(key, 0)
        if expected_revision != current:
            return f"conflict {key}.{current}"
        self._revisions[key] = current + 1
        return f"granted {key}.{expected_revision}"

    def snapshot_parts(self) -> tuple[bytes, ...]:
        """Serialise the state as the parts of a snapshot."""
        data = json.dumps([self.checksum, self._revisions, self._answers]).encode()
        starts = range(0, len(data), SNAPSHOT_PART_BYTES)
        return tuple(data[start : start + SNAPSHOT_PART_BYTES] for start in starts)

    def restore(self, snapshot: Snapshot) -> None:
        """Replace the state with that of a snapshot."""
        self.index = snapshot.index
        self.checksum, self._revisions, self._answers = json.loads(
            b"".join(snapshot.parts)
        )
