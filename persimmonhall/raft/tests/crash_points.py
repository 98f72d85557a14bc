"""Run code that writes files until a chosen operation, then crash."""

import os
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path

COUNTED = ("write", "fsync", "replace", "ftruncate", "unlink")


class CrashError(BaseException):
    """Signal that the process was killed; nothing may handle it."""


@dataclass
class CrashingDisk:
    """Count the operations on files of a folder and crash at one of them.

    What was synced is tracked, to build the folder as a loss of power leaves it: each
    file as of its last sync, each name as of the last sync of file or folder.
    """

    folder: Path
    crash_at: int
    is_torn: bool = False
    count: int = 0
    # By inode.
    synced_content: dict[int, bytes] = field(default_factory=dict)
    durable_names: dict[str, int] = field(default_factory=dict)

    def install(self, monkeypatch) -> None:
        """Replace the functions of `os` that change files."""
        for name in COUNTED:
            original = getattr(os, name)
            monkeypatch.setattr(os, name, self._wrap(name, original))

    def _wrap(self, name, original):
        def run(target, *arguments, **options):
            path = path_of(target)
            if path != self.folder and path.parent != self.folder:
                return original(target, *arguments, **options)
            self.count += 1
            if self.count == self.crash_at:
                if name == "write" and self.is_torn:
                    original(target, arguments[0][: len(arguments[0]) // 2])
                raise CrashError
            result = original(target, *arguments, **options)
            if name == "fsync":
                self._record_sync(path)
            return result

        return run

    def _record_sync(self, path: Path) -> None:
        if path == self.folder:
            names = {entry.name: entry.inode() for entry in os.scandir(path)}
            self.durable_names = names
        else:
            inode = path.stat().st_ino
            self.synced_content[inode] = path.read_bytes()
            self.durable_names.setdefault(path.name, inode)

    def lose_power(self, folder: Path) -> None:
        """Build the folder as it is after a loss of power."""
        folder.mkdir()
        for name, inode in self.durable_names.items():
            (folder / name).write_bytes(self.synced_content.get(inode, b""))


def path_of(target) -> Path:
    """Return the path of a file that is given by its path or by a descriptor."""
    if isinstance(target, int):
        target = os.readlink(f"/proc/self/fd/{target}")
    return Path(target)


@contextmanager
def closing_descriptors(folder: Path) -> Iterator[None]:
    """Close the files below a folder at the end, as the kernel does after a kill."""
    try:
        yield
    finally:
        for descriptor in os.listdir("/proc/self/fd"):
            try:
                if folder in path_of(int(descriptor)).parents:
                    os.close(int(descriptor))
            except FileNotFoundError:
                # That of the listing itself.
                pass
