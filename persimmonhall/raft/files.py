"""Write and sync files through an interface that tests replace to inject errors."""

import os
from collections.abc import Iterable
from pathlib import Path
from typing import Protocol


class FileSystem(Protocol):
    """Define the file operations that storage needs."""

    def write(self, descriptor: int, data: bytes) -> int:
        """Write data and return the number of bytes written."""

    def sync(self, descriptor: int) -> None:
        """Flush a file to disk."""


class OsFileSystem:
    """Perform the operations with system calls."""

    def write(self, descriptor: int, data: bytes) -> int:
        """Write data and return the number of bytes written."""
        return os.write(descriptor, data)

    def sync(self, descriptor: int) -> None:
        """Flush a file to disk."""
        os.fsync(descriptor)


def write_all(files: FileSystem, descriptor: int, data: bytes) -> None:
    """Write all bytes, continuing after short writes."""
    view = memoryview(data)
    while view:
        view = view[files.write(descriptor, view) :]


def sync_folder(folder: Path) -> None:
    """Sync a directory, which makes renames and new files in it durable."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def replace_file(files: FileSystem, path: Path, pieces: Iterable[bytes]) -> None:
    """Replace a file atomically by a new one that is already synced."""
    new = path.with_name(path.name + ".new")
    write_file(files, new, pieces)
    rename_and_sync(new, path)


def write_file(files: FileSystem, path: Path, pieces: Iterable[bytes]) -> None:
    """Write a complete file and sync it."""
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    try:
        for piece in pieces:
            write_all(files, descriptor, piece)
        files.sync(descriptor)
    finally:
        os.close(descriptor)


def rename_and_sync(new: Path, path: Path) -> None:
    """Rename a synced file over another atomically and sync the directory."""
    os.replace(new, path)
    sync_folder(path.parent)
