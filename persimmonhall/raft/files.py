"""Write and sync files; tests put failing ones in their place."""

import os
from collections.abc import Iterable
from pathlib import Path
from typing import Protocol


class FileSystem(Protocol):
    """Do the few file operations that storage needs."""

    def write(self, descriptor: int, data: bytes) -> int:
        """Write and return how many bytes were written."""

    def sync(self, descriptor: int) -> None:
        """Bring a file to the disk."""


class OsFiles:
    """Call the operating system."""

    def write(self, descriptor: int, data: bytes) -> int:
        """Write and return how many bytes were written."""
        return os.write(descriptor, data)

    def sync(self, descriptor: int) -> None:
        """Bring a file to the disk."""
        os.fsync(descriptor)


def write_all(files: FileSystem, descriptor: int, data: bytes) -> None:
    """Write all bytes, however few the system takes at a time."""
    view = memoryview(data)
    while view:
        view = view[files.write(descriptor, view) :]


def sync_folder(folder: Path) -> None:
    """Bring the names in a folder to the disk."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def replace_file(files: FileSystem, path: Path, pieces: Iterable[bytes]) -> None:
    """Put a file in place of another at once, after all of it is synced."""
    new = path.with_name(path.name + ".new")
    write_file(files, new, pieces)
    put_in_place(new, path)


def write_file(files: FileSystem, path: Path, pieces: Iterable[bytes]) -> None:
    """Write a whole file and sync it."""
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    try:
        for piece in pieces:
            write_all(files, descriptor, piece)
        files.sync(descriptor)
    finally:
        os.close(descriptor)


def put_in_place(new: Path, path: Path) -> None:
    """Give a synced file the name of another at once."""
    os.replace(new, path)
    sync_folder(path.parent)
