"""Encode and parse the header that nested calls of a root request carry."""

import re
import secrets
from dataclasses import dataclass, replace

from returns.result import Failure, Result, Success

from persimmonhall.document.schema import DAY_MS, Worth
from persimmonhall.ids import NodeName, RootId

CHAIN_HEADER = b"persimmonhall-chain"
MAX_DEPTH = 64
MAX_HEADER_CHARS = 512
ROOT_ID_BYTES = 12
EXECUTION_ID_BYTES = 8
ID_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}")


@dataclass(frozen=True)
class Chain:
    """Identify the root request and execution of a call, with its remaining time."""

    root: RootId
    entry: NodeName
    depth: int
    worth: Worth
    remaining_ms: int
    execution: str = ""

    def encode(self) -> bytes:
        """Encode the header value."""
        return (
            f"root={self.root};entry={self.entry};depth={self.depth};"
            f"worth={self.worth.value};remaining={self.remaining_ms};"
            f"execution={self.execution}"
        ).encode()

    def child(self, remaining_ms: int) -> "Chain":
        """Return the chain for the calls of one execution on a backend server."""
        return replace(
            self,
            depth=self.depth + 1,
            remaining_ms=remaining_ms,
            execution=secrets.token_hex(EXECUTION_ID_BYTES),
        )


def new_root_id() -> RootId:
    """Generate the id of a root request."""
    return RootId(secrets.token_hex(ROOT_ID_BYTES))


def parse_chain(text: str) -> Result[Chain, str]:
    """Parse a header value."""
    if len(text) > MAX_HEADER_CHARS:
        return Failure(f"Persimmonhall-Chain: over {MAX_HEADER_CHARS} characters")
    pairs = [part.strip().partition("=") for part in text.split(";")]
    fields = {name: value for name, _, value in pairs}
    try:
        return Success(_chain_from_fields(fields))
    except (KeyError, ValueError) as error:
        return Failure(f"Persimmonhall-Chain: {error}")


def _chain_from_fields(fields: dict[str, str]) -> Chain:
    execution = fields.get("execution", "")
    return Chain(
        root=RootId(_parse_id(fields["root"])),
        entry=NodeName(_parse_id(fields["entry"])),
        depth=_parse_count(fields["depth"], MAX_DEPTH),
        worth=Worth(fields["worth"]),
        remaining_ms=_parse_count(fields["remaining"], DAY_MS),
        execution=_parse_id(execution) if execution else "",
    )


def _parse_id(text: str) -> str:
    if ID_PATTERN.fullmatch(text) is None:
        raise ValueError(f"{text!r} is not a valid id")
    return text


def _parse_count(text: str, max_count: int) -> int:
    count = int(text)
    if not 0 <= count <= max_count:
        raise ValueError(f"{count} is not between 0 and {max_count}")
    return count
