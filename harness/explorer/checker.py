"""Check what must hold in every schedule."""

from persimmonhall.ids import LogIndex, ReplicaId, Term


class ViolationError(Exception):
    """Signal that a promise was broken."""


class Checker:
    """Compare all replicas and all answers with each other."""

    def __init__(self):
        self._leaders: dict[Term, ReplicaId] = {}
        self._chains: dict[LogIndex, int] = {LogIndex(0): 0}
        self._answers: dict[str, str] = {}
        self._grants: dict[str, str] = {}
        self._acknowledged = LogIndex(0)
        self.replicas_index = LogIndex(0)

    @property
    def acknowledged(self) -> LogIndex:
        """Return the highest index that a client got an answer for."""
        return self._acknowledged

    @property
    def answers(self) -> dict[str, str]:
        """Return the answer to each change that a client heard."""
        return self._answers

    @property
    def last_term(self) -> Term:
        """Return the highest term that had a leader."""
        return max(self._leaders, default=Term(0))

    def leads(self, replica: ReplicaId, term: Term) -> None:
        """Record a leader; a term has one at most."""
        known = self._leaders.setdefault(term, replica)
        if known != replica:
            raise ViolationError(f"term {term} has leaders {known} and {replica}")

    def applied(self, replica: ReplicaId, index: LogIndex, chain: int) -> None:
        """Record what a replica's state amounts to at an index."""
        known = self._chains.setdefault(index, chain)
        if known != chain:
            raise ViolationError(f"{replica} applied another entry at {index}")

    def answered(self, change: str, answer: str, index: LogIndex) -> None:
        """Record an answer; a resent change gets its first one."""
        known = self._answers.setdefault(change, answer)
        if known != answer:
            raise ViolationError(f"{change} heard {known!r}, then {answer!r}")
        self._acknowledged = max(self._acknowledged, index)
        kind, _, key = answer.partition(" ")
        if kind == "granted":
            holder = self._grants.setdefault(key, change)
            if holder != change:
                raise ViolationError(f"{key} granted to {holder} and {change}")

    def served(self, replica: ReplicaId, at: LogIndex, least: LogIndex) -> None:
        """Check that a read sees all that was answered before it began."""
        if at < least:
            raise ViolationError(f"{replica} served a read at {at} below {least}")

    def whole(self, replica: ReplicaId, applied: LogIndex) -> None:
        """Check that a replica ended with all that was accepted."""
        if applied < self._acknowledged:
            text = f"{replica} ended at {applied}, accepted {self._acknowledged}"
            raise ViolationError(text)
