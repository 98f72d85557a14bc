"""Track the replication progress of one peer on the leader."""

from dataclasses import dataclass

from persimmonhall.ids import LogIndex


@dataclass
class Progress:
    """Hold the replication state of one peer."""

    next_index: LogIndex
    last_reply_at: float
    has_replied: bool = False
    match_index: LogIndex = LogIndex(0)
    acknowledged_round: int = 0
    is_probing: bool = True
    chunk_offset: int | None = None

    def acknowledge(self, match_index: LogIndex) -> None:
        """Record that the peer's log matches up to an index."""
        self.match_index = max(self.match_index, match_index)
        self.next_index = max(self.next_index, LogIndex(self.match_index + 1))
        self.is_probing = False
        self.chunk_offset = None

    def reject(self, rejected: LogIndex, hint: LogIndex) -> bool:
        """Move back after a rejection; return False if the rejection is outdated."""
        if rejected <= self.match_index or rejected >= self.next_index:
            return False
        self.next_index = LogIndex(max(self.match_index + 1, min(rejected, hint + 1)))
        self.is_probing = True
        return True
