"""Run code that writes files on a disk that is full for some operations."""

import errno
import os
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from persimmonhall.raft.tests.crash_points import CrashError, path_of

REFUSED = ("write", "open", "fsync", "replace", "ftruncate", "unlink")


@dataclass
class FullDisk:
    """Refuse some operations on files of a folder, and track what is durable.

    A refused sync drops what it should have written: a later sync of the same file
    makes only durable what was written after it.
    """

    folder: Path
    full_at: int = 0
    operations: int = 1
    is_partial: bool = False
    killed_at: int = 0
    # Called after each operation.
    check: Callable[[], None] = lambda: None
    count: int = 0
    # By inode.
    synced_content: dict[int, bytes] = field(default_factory=dict)
    unsynced_changes: dict[int, list] = field(default_factory=dict)
    durable_names: dict[str, int] = field(default_factory=dict)

    def install(self, monkeypatch) -> None:
        """Replace the functions of `os` that change files."""
        for name in REFUSED:
            monkeypatch.setattr(os, name, self._wrap(name, getattr(os, name)))

    def _wrap(self, name, original):
        def run(target, *arguments, **options):
            path = path_of(target)
            is_inside = path == self.folder or path.parent == self.folder
            if not is_inside and name == "fsync":
                return None
            if not is_inside or name == "open" and not arguments[0] & os.O_CREAT:
                return original(target, *arguments, **options)
            self.count += 1
            if self.count == self.killed_at:
                raise CrashError
            is_full = self.full_at <= self.count < self.full_at + self.operations
            if is_full and (name, self.count, self.is_partial) == (
                "write",
                self.full_at,
                True,
            ):
                arguments = (arguments[0][: len(arguments[0]) // 2],)
            elif is_full:
                if name == "fsync" and path != self.folder:
                    self.unsynced_changes.pop(os.fstat(target).st_ino, None)
                self.check()
                raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
            result = self._record(name, path, original, target, *arguments, **options)
            self.check()
            return result

        return run

    def _record(self, name, path, original, target, *arguments, **options):
        if name == "write":
            offset = os.lseek(target, 0, os.SEEK_CUR)
            written = original(target, *arguments, **options)
            data = bytes(arguments[0][:written])
            self._changes(target).append(("write", offset, data))
            return written
        # What is durable is tracked, and real syncs take long.
        result = original(target, *arguments, **options) if name != "fsync" else None
        if name == "open" and arguments[0] & os.O_TRUNC:
            self._changes(result).append(("truncate", 0, b""))
        elif name == "ftruncate":
            self._changes(target).append(("truncate", arguments[0], b""))
        elif name == "fsync" and path == self.folder:
            names = {entry.name: entry.inode() for entry in os.scandir(path)}
            self.durable_names = names
        elif name == "fsync":
            self._record_sync(os.fstat(target).st_ino, path.name)
        return result

    def _changes(self, descriptor: int) -> list:
        return self.unsynced_changes.setdefault(os.fstat(descriptor).st_ino, [])

    def _record_sync(self, inode: int, name: str) -> None:
        content = bytearray(self.synced_content.get(inode, b""))
        for kind, offset, data in self.unsynced_changes.pop(inode, ()):
            if kind == "truncate":
                del content[offset:]
            else:
                content.extend(bytes(max(0, offset - len(content))))
                content[offset : offset + len(data)] = data
        self.synced_content[inode] = bytes(content)
        self.durable_names.setdefault(name, inode)

    def lose_power(self, folder: Path, *, keeps_names: bool) -> None:
        """Build the folder as a loss of power leaves it.

        A name that was changed without a sync of the folder is lost, or kept.
        """
        folder.mkdir()
        names = dict(self.durable_names)
        if keeps_names:
            names = {entry.name: entry.inode() for entry in os.scandir(self.folder)}
        for name, inode in names.items():
            (folder / name).write_bytes(self.synced_content.get(inode, b""))
