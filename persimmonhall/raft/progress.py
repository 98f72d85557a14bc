"""Track the replication progress of one peer on the leader."""

from dataclasses import dataclass

from persimmonhall.ids import LogIndex


@dataclass
class Progress:
    """Hold the replication state of one peer."""

    next: LogIndex
    active_at: float
    heard: bool = False
    match: LogIndex = LogIndex(0)
    round: int = 0
    probing: bool = True
    chunk_offset: int | None = None

    def acknowledge(self, match: LogIndex) -> None:
        """Record that the peer's log matches up to an index."""
        self.match = max(self.match, match)
        self.next = max(self.next, LogIndex(self.match + 1))
        self.probing = False
        self.chunk_offset = None

    def reject(self, rejected: LogIndex, hint: LogIndex) -> bool:
        """Move back after a rejection; return False if the rejection is outdated."""
        if rejected <= self.match or rejected >= self.next:
            return False
        self.next = LogIndex(max(self.match + 1, min(rejected, hint + 1)))
        self.probing = True
        return True
