"""Keep log records on disk, each with a checksum."""

import os
import struct
from pathlib import Path

import xxhash
from returns.result import Failure, Result, Success

RECORD_HEADER = struct.Struct("<IQ")
LOG_FILE = "log"


class LogFile:
    """Append records and sync them before returning."""

    def __init__(self, descriptor: int):
        self._descriptor = descriptor

    def append(self, payload: bytes) -> Result[None, str]:
        """Write one record and sync it."""
        header = RECORD_HEADER.pack(len(payload), xxhash.xxh64_intdigest(payload))
        try:
            os.write(self._descriptor, header + payload)
            os.fsync(self._descriptor)
        except OSError as error:
            return Failure(f"log write failed: {error}")
        return Success(None)


def open_log(folder: Path) -> Result[tuple[LogFile, tuple[bytes, ...]], str]:
    """Open the log of a data folder and read its records back."""
    try:
        folder.mkdir(parents=True, exist_ok=True)
        path = folder / LOG_FILE
        data = path.read_bytes() if path.exists() else b""
        records, good = _read_records(data)
        descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o600)
        os.ftruncate(descriptor, good)
        os.fsync(descriptor)
    except OSError as error:
        return Failure(f"{folder}: log cannot be opened: {error}")
    return Success((LogFile(descriptor), records))


def _read_records(data: bytes) -> tuple[tuple[bytes, ...], int]:
    records = []
    offset = 0
    while offset + RECORD_HEADER.size <= len(data):
        length, checksum = RECORD_HEADER.unpack_from(data, offset)
        start = offset + RECORD_HEADER.size
        payload = data[start : start + length]
        if len(payload) < length or xxhash.xxh64_intdigest(payload) != checksum:
            break
        records.append(payload)
        offset = start + length
    return tuple(records), offset
