"""Define the exit status of every program."""

from enum import IntEnum


class ExitStatus(IntEnum):
    """List what a program's exit status tells."""

    SUCCESS = 0
    ERROR = 1
    USAGE = 2
    UNREACHABLE = 3
    CONFLICT = 4
    REFUSED = 5
    INTERRUPTED = 130
