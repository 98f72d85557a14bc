"""Frame records with a checksum and distinguish a torn tail from corruption."""

import struct
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

import xxhash
from returns.result import Failure, Result, Success

MAGIC = b"PHR1"
PREFIX = struct.Struct("<IQI")
CHECKSUM = struct.Struct("<Q")
HEADER_BYTES = len(MAGIC) + PREFIX.size + CHECKSUM.size


@dataclass(frozen=True)
class _Record:
    payload: bytes
    batch: int
    position: int


@dataclass(frozen=True)
class ScannedRecords:
    """Hold the payloads read, the offset where they end and the last batch number."""

    payloads: tuple[bytes, ...]
    end_offset: int
    last_batch: int


def frame_batch(
    payloads: tuple[bytes, ...], batch: int, first_position: int = 0
) -> bytes:
    """Encode a batch of records that are synced together, from a position on."""
    return b"".join(frame_records(payloads, batch, first_position))


def frame_records(
    payloads: Iterable[bytes], batch: int, first_position: int = 0
) -> Iterator[bytes]:
    """Yield the encoded records of a batch one by one."""
    for position, payload in enumerate(payloads, first_position):
        yield _frame(payload, batch, position)


def read_records(data: bytes) -> Result[ScannedRecords, int]:
    """Read records up to a torn tail, or return the offset of a damaged record.

    A batch is written only after the previous one was synced. So if the first record
    of a later batch follows an unreadable record, that record was synced and is
    damaged. That first record is an empty sync marker. A power loss may lose it alone:
    the next record then follows the unreadable place by exactly the marker's length.
    """
    payloads: list[bytes] = []
    offset = batch = 0
    while (record := _record_at(data, offset)) is not None:
        payloads.append(record.payload)
        batch = record.batch
        offset += HEADER_BYTES + len(record.payload)
    if _synced_batches_follow(data, offset, batch):
        return Failure(offset)
    return Success(ScannedRecords(tuple(payloads), offset, batch))


def _frame(payload: bytes, batch: int, position: int) -> bytes:
    body = PREFIX.pack(len(payload), batch, position) + payload
    checksum = CHECKSUM.pack(xxhash.xxh64_intdigest(body))
    return MAGIC + checksum + body


def _record_at(data: bytes, offset: int) -> _Record | None:
    start = offset + len(MAGIC) + CHECKSUM.size
    if data[offset : offset + len(MAGIC)] != MAGIC or start + PREFIX.size > len(data):
        return None
    length, batch, position = PREFIX.unpack_from(data, start)
    body = data[start : start + PREFIX.size + length]
    (checksum,) = CHECKSUM.unpack_from(data, offset + len(MAGIC))
    if len(body) < PREFIX.size + length or xxhash.xxh64_intdigest(body) != checksum:
        return None
    return _Record(body[PREFIX.size :], batch, position)


def _synced_batches_follow(data: bytes, offset: int, batch: int) -> bool:
    bad_offset = offset
    offset = data.find(MAGIC, offset + 1)
    while offset >= 0:
        record = _record_at(data, offset)
        if record is not None and record.batch > batch:
            if record.batch > batch + 1 or record.position == 0:
                return True
            if record.position == 1 and offset - bad_offset != HEADER_BYTES:
                return True
        offset = data.find(MAGIC, offset + 1)
    return False
