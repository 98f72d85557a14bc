"""Read and write the header that follows a root request down the chain."""

import secrets
from dataclasses import dataclass, replace

from returns.result import Failure, Result, Success

from persimmonhall.document.schema import Worth
from persimmonhall.ids import NodeName, RootId

CHAIN_HEADER = b"persimmonhall-chain"
MAX_DEPTH = 64
ROOT_BYTES = 12


@dataclass(frozen=True)
class Chain:
    """Say which root a call belongs to and what is left of its deadline."""

    root: RootId
    entry: NodeName
    depth: int
    worth: Worth
    remaining_ms: int

    def encode(self) -> bytes:
        """Write the header value."""
        return (
            f"root={self.root};entry={self.entry};depth={self.depth};"
            f"worth={self.worth.value};remaining={self.remaining_ms}"
        ).encode()

    def child(self, remaining_ms: int) -> "Chain":
        """Return the chain that a backend server passes on."""
        return replace(self, depth=self.depth + 1, remaining_ms=remaining_ms)


def new_root() -> RootId:
    """Make an id for a root request."""
    return RootId(secrets.token_hex(ROOT_BYTES))


def parse_chain(text: str) -> Result[Chain, str]:
    """Read a header value."""
    pairs = [part.strip().partition("=") for part in text.split(";")]
    values = {name: value for name, _, value in pairs}
    try:
        chain = Chain(
            root=RootId(values["root"]),
            entry=NodeName(values["entry"]),
            depth=int(values["depth"]),
            worth=Worth(values["worth"]),
            remaining_ms=int(values["remaining"]),
        )
    except (KeyError, ValueError) as error:
        return Failure(f"Persimmonhall-Chain: {error}")
    if not 0 <= chain.depth <= MAX_DEPTH:
        return Failure(f"Persimmonhall-Chain: depth {chain.depth} is over {MAX_DEPTH}")
    return Success(chain)
