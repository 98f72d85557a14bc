"""Run a control VM whose disk is full while a file says so.

The file names the operations that are refused, with the chance of a refusal of each.
"""

import errno
import json
import os
import random
import sys
import time
from pathlib import Path

from persimmonhall.cli import control

SYNC_S = 0.001
OPERATIONS = ("write", "open", "ftruncate", "replace", "unlink", "fsync")


class FullDisk:
    """Refuse operations on the files of a folder while the disk is full."""

    def __init__(self, folder: Path, flag: Path):
        self._folder = str(folder)
        self._flag = flag
        self._rng = random.Random(folder.name)

    def install(self) -> None:
        """Replace the functions of `os` that change files."""
        for name in OPERATIONS:
            setattr(os, name, self._wrap(name, getattr(os, name)))

    def _wrap(self, name: str, original):
        def run(target, *arguments, **options):
            if not self._is_on_disk(name, target, arguments):
                return original(target, *arguments, **options)
            if self._is_refused(name):
                if name == "write" and self._rng.random() < 0.5:
                    # The last blocks take the first part.
                    part = self._rng.randrange(len(arguments[0]))
                    if part and not self._is_continued(target):
                        return original(target, arguments[0][:part])
                raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
            if name == "fsync":
                time.sleep(SYNC_S)
            return original(target, *arguments, **options)

        self._part_end = {}
        return run

    def _is_continued(self, descriptor: int) -> bool:
        """Return whether the last blocks are used up."""
        end = os.lseek(descriptor, 0, os.SEEK_CUR)
        was_partial = self._part_end.get(descriptor, False)
        self._part_end[descriptor] = not was_partial
        return was_partial and end > 0

    def _is_on_disk(self, name: str, target, arguments) -> bool:
        if name == "open" and not (arguments and arguments[0] & os.O_CREAT):
            return False
        if isinstance(target, int):
            try:
                target = os.readlink(f"/proc/self/fd/{target}")
            except OSError:
                return False
        return str(target).startswith(self._folder)

    def _is_refused(self, name: str) -> bool:
        try:
            chances = json.loads(self._flag.read_text() or "{}")
        except (FileNotFoundError, ValueError):
            return False
        return self._rng.random() < chances.get(name, 0.0)


def main() -> None:
    """Run the control VM of a settings file: SETTINGS FOLDER FLAG."""
    settings, folder, flag = sys.argv[1:]
    FullDisk(Path(folder), Path(flag)).install()
    sys.exit(control.main(["--settings", settings]))


if __name__ == "__main__":
    main()
