"""Encode the replicated state in blocks and restore it."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Protocol

from persimmonhall.wire.codec import decode, encode, load_schema

SCHEMA = load_schema(Path(__file__).with_name("snapshot.capnp"))


class Table(Protocol):
    """Define the interface of a table of the replicated state."""

    def blocks(self) -> Iterator[bytes]:
        """Encode the table as of this call, block by block."""

    def restore(self, block: bytes) -> None:
        """Restore the next block of an encoded table."""


@dataclass(frozen=True)
class Block:
    """Hold some rows of one table."""

    table: str
    data: bytes


def encode_blocks(tables: Mapping[str, Table]) -> Iterator[bytes]:
    """Encode all tables as of this call, block by block."""
    block_iterators = [(name, table.blocks()) for name, table in tables.items()]
    return _encode_each(block_iterators)


def _encode_each(block_iterators: list[tuple[str, Iterator[bytes]]]) -> Iterator[bytes]:
    for name, blocks in block_iterators:
        for block in blocks:
            yield encode(SCHEMA.Block, Block(name, block))


def restore_block(data: bytes, tables: Mapping[str, Table]) -> None:
    """Restore one block; raise ValueError if its table is unknown."""
    block = decode(SCHEMA.Block, Block, data)
    if block.table not in tables:
        raise ValueError(f"the snapshot has an unknown table {block.table!r}")
    tables[block.table].restore(block.data)
