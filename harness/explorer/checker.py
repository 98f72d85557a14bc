"""Check the invariants that hold in every schedule."""

from persimmonhall.ids import LogIndex, ReplicaId, Term


class ViolationError(Exception):
    """Report a violated invariant."""


class Checker:
    """Check replicas and answers for consistency with each other."""

    def __init__(self):
        self._leaders: dict[Term, ReplicaId] = {}
        self._chains: dict[LogIndex, int] = {LogIndex(0): 0}
        self._answers: dict[str, str] = {}
        self._grants: dict[str, str] = {}
        self._acknowledged = LogIndex(0)
        self.replicas_index = LogIndex(0)

    @property
    def acknowledged(self) -> LogIndex:
        """Return the highest log index whose answer reached a client."""
        return self._acknowledged

    @property
    def answers(self) -> dict[str, str]:
        """Return the answers that clients received, by change."""
        return self._answers

    @property
    def last_term(self) -> Term:
        """Return the highest term that had a leader."""
        return max(self._leaders, default=Term(0))

    def leads(self, replica: ReplicaId, term: Term) -> None:
        """Record a leader and check that its term has no other one."""
        known = self._leaders.setdefault(term, replica)
        if known != replica:
            raise ViolationError(f"term {term} has leaders {known} and {replica}")

    def applied(self, replica: ReplicaId, index: LogIndex, chain: int) -> None:
        """Record a replica's history checksum at an index and check that all agree."""
        known = self._chains.setdefault(index, chain)
        if known != chain:
            raise ViolationError(f"{replica} applied another entry at {index}")

    def answered(self, change: str, answer: str, index: LogIndex) -> None:
        """Record an answer; check that a resent change gets the same answer again."""
        known = self._answers.setdefault(change, answer)
        if known != answer:
            raise ViolationError(f"{change} was answered {known!r}, then {answer!r}")
        self._acknowledged = max(self._acknowledged, index)
        kind, _, key = answer.partition(" ")
        if kind == "granted":
            holder = self._grants.setdefault(key, change)
            if holder != change:
                raise ViolationError(f"{key} granted to {holder} and {change}")

    def served(self, replica: ReplicaId, at: LogIndex, least: LogIndex) -> None:
        """Check that a read sees every change answered before it started."""
        if at < least:
            raise ViolationError(f"{replica} served a read at {at} below {least}")

    def whole(self, replica: ReplicaId, applied: LogIndex) -> None:
        """Check that a replica has applied every answered change."""
        if applied < self._acknowledged:
            text = f"{replica} applied only {applied} of {self._acknowledged} answered"
            raise ViolationError(text)
