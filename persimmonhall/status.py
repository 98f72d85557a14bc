"""Define the exit statuses of all programs."""

import sys
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


def report_error(program: str, reason: str, status: ExitStatus) -> ExitStatus:
    """Print a one-line error and return the status."""
    print(f"{program}: error: {reason}", file=sys.stderr)
    return status
