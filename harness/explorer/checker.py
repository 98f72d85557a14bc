"""Check the invariants that hold in every schedule."""

from persimmonhall.ids import LogIndex, ReplicaId, Term


class ViolationError(Exception):
    """Report a violated invariant."""


class Checker:
    """Check replicas and answers for consistency with each other."""

    def __init__(self):
        self._leaders: dict[Term, ReplicaId] = {}
        self._checksums: dict[LogIndex, int] = {LogIndex(0): 0}
        self._answers: dict[str, str] = {}
        self._granted_changes: dict[str, str] = {}
        self._answered_index = LogIndex(0)
        self.replica_set_index = LogIndex(0)

    @property
    def answered_index(self) -> LogIndex:
        """Return the highest log index whose answer reached a client."""
        return self._answered_index

    @property
    def answers(self) -> dict[str, str]:
        """Return the answers that clients received, by change."""
        return self._answers

    @property
    def last_term(self) -> Term:
        """Return the highest term that had a leader."""
        return max(self._leaders, default=Term(0))

    def record_leader(self, replica: ReplicaId, term: Term) -> None:
        """Record a leader and check that its term has no other one."""
        known = self._leaders.setdefault(term, replica)
        if known != replica:
            raise ViolationError(f"term {term} has leaders {known} and {replica}")

    def record_applied(
        self, replica: ReplicaId, index: LogIndex, checksum: int
    ) -> None:
        """Record a replica's history checksum at an index and check that all agree."""
        known = self._checksums.setdefault(index, checksum)
        if known != checksum:
            raise ViolationError(f"{replica} applied another entry at {index}")

    def record_answer(self, change: str, answer: str, index: LogIndex) -> None:
        """Record an answer; check that a resent change gets the same answer again."""
        known = self._answers.setdefault(change, answer)
        if known != answer:
            raise ViolationError(f"{change} was answered {known!r}, then {answer!r}")
        self._answered_index = max(self._answered_index, index)
        kind, _, key = answer.partition(" ")
        if kind == "granted":
            holder = self._granted_changes.setdefault(key, change)
            if holder != change:
                raise ViolationError(f"{key} granted to {holder} and {change}")

    def check_read(
        self, replica: ReplicaId, read_index: LogIndex, min_index: LogIndex
    ) -> None:
        """Check that a read sees every change answered before it started."""
        if read_index < min_index:
            raise ViolationError(
                f"{replica} served a read at {read_index} below {min_index}"
            )

    def check_complete(self, replica: ReplicaId, applied_index: LogIndex) -> None:
        """Check that a replica has applied every answered change."""
        if applied_index < self._answered_index:
            text = (
                f"{replica} applied only {applied_index} "
                f"of {self._answered_index} answered"
            )
            raise ViolationError(text)
