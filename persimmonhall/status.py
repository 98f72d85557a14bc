"""Define the exit statuses of all programs."""

from enum import IntEnum


class ExitStatus(IntEnum):
    """Define the exit statuses of the programs."""

    SUCCESS = 0
    ERROR = 1
    USAGE = 2
    UNREACHABLE = 3
    CONFLICT = 4
    REFUSED = 5
    INTERRUPTED = 130
