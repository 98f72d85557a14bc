"""Write the replicated state as named parts and read it back."""

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Protocol

from persimmonhall.ids import LogIndex
from persimmonhall.wire.codec import decode, encode, load_schema

SCHEMA = load_schema(Path(__file__).with_name("snapshot.capnp"))


class Part(Protocol):
    """Hold one table of the replicated state."""

    def state(self) -> bytes:
        """Write the whole table."""

    def restore(self, data: bytes) -> None:
        """Take over a written table."""


@dataclass(frozen=True)
class PartState:
    """Hold one written table."""

    name: str
    data: bytes


@dataclass(frozen=True)
class MachineState:
    """Hold all tables and the index they reach up to."""

    index: LogIndex
    parts: tuple[PartState, ...]


def write_parts(index: LogIndex, parts: Mapping[str, Part]) -> bytes:
    """Write all parts."""
    states = tuple(PartState(name, part.state()) for name, part in parts.items())
    return encode(SCHEMA.MachineState, MachineState(index, states))


def read_parts(data: bytes, parts: Mapping[str, Part]) -> LogIndex:
    """Restore all parts and return their index; raise ValueError on unknown ones."""
    state = decode(SCHEMA.MachineState, MachineState, data)
    for part in state.parts:
        if part.name not in parts:
            raise ValueError(f"the snapshot has an unknown part {part.name!r}")
        parts[part.name].restore(part.data)
    return state.index
