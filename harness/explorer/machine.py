"""Apply commands to a small state that grants each revision of a key once."""

import json
import zlib

from persimmonhall.ids import LogIndex
from persimmonhall.raft.messages import Entry, EntryKind, Snapshot

PART_BYTES = 300


class Machine:
    """Store revisions, the first answer to each change and a history checksum."""

    def __init__(self):
        self.index = LogIndex(0)
        self.chain = 0
        self._revisions: dict[str, int] = {}
        self._answers: dict[str, str] = {}

    def apply(self, entry: Entry) -> str:
        """Apply one entry and return its answer."""
        if entry.index != self.index + 1:
            raise AssertionError(f"applied {entry.index} after {self.index}")
        self.index = entry.index
        text = b"%d %d " % (entry.index, entry.term) + entry.data
        self.chain = zlib.crc32(text, self.chain)
        if entry.kind is not EntryKind.COMMAND:
            return ""
        change, key, expected = entry.data.decode().split()
        answer = self._answers.get(change)
        if answer is None:
            answer = self._answers[change] = self._decide(key, int(expected))
        return answer

    def _decide(self, key: str, expected: int) -> str:
        current = self._revisions.get(key, 0)
        if expected != current:
            return f"conflict {key}.{current}"
        self._revisions[key] = current + 1
        return f"granted {key}.{expected}"

    def state(self) -> tuple[bytes, ...]:
        """Serialise the state as the parts of a snapshot."""
        data = json.dumps([self.chain, self._revisions, self._answers]).encode()
        starts = range(0, len(data), PART_BYTES)
        return tuple(data[start : start + PART_BYTES] for start in starts)

    def restore(self, snapshot: Snapshot) -> None:
        """Replace the state with that of a snapshot."""
        self.index = snapshot.index
        self.chain, self._revisions, self._answers = json.loads(
            b"".join(snapshot.parts)
        )
