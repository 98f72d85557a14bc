"""Track the replication progress of one peer on the leader."""

from dataclasses import dataclass

from persimmonhall.ids import LogIndex
from persimmonhall.raft.messages import Snapshot

# A part that was not acknowledged within this time is sent again.
PART_TIMEOUT_S = 1.0


@dataclass
class Progress:
    """Hold the replication state of one peer."""

    next_index: LogIndex
    last_reply_at: float
    has_replied: bool = False
    match_index: LogIndex = LogIndex(0)
    acknowledged_round: int = 0
    is_probing: bool = True
    snapshot: Snapshot | None = None
    chunk_offset: int = 0
    chunk_sent_at: float = -PART_TIMEOUT_S

    @property
    def is_in_transfer(self) -> bool:
        """Return whether a snapshot is sent to the peer."""
        return self.snapshot is not None

    def is_part_on_its_way(self, now: float) -> bool:
        """Return whether the part at the offset was sent and may still arrive."""
        return now < self.chunk_sent_at + PART_TIMEOUT_S

    def start_transfer(self, snapshot: Snapshot) -> None:
        """Send a snapshot from its first part on, and no newer one meanwhile."""
        self.snapshot, self.chunk_offset = snapshot, 0

    def end_transfer(self) -> None:
        """Send no further parts."""
        self.snapshot = None

    def request_part(self, offset: int, now: float) -> bool:
        """Move to the part that the peer needs; False if it is on its way."""
        if offset == self.chunk_offset and self.is_part_on_its_way(now):
            return False
        self.chunk_offset, self.chunk_sent_at = offset, -PART_TIMEOUT_S
        return True

    def acknowledge(self, match_index: LogIndex) -> None:
        """Record that the peer's log matches up to an index."""
        self.match_index = max(self.match_index, match_index)
        self.next_index = max(self.next_index, LogIndex(self.match_index + 1))
        self.is_probing = False
        if self.snapshot is not None and self.match_index >= self.snapshot.index:
            self.end_transfer()

    def reject(self, rejected: LogIndex, hint: LogIndex) -> bool:
        """Move back after a rejection; return False if the rejection is outdated."""
        if rejected <= self.match_index or rejected >= self.next_index:
            return False
        self.next_index = LogIndex(max(self.match_index + 1, min(rejected, hint + 1)))
        self.is_probing = True
        return True
