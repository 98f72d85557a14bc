"""Set up the log lines of every program."""

import sys

from absl import logging

LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


def set_up_logs(level: str) -> None:
    """Write log lines at a level and above to standard error."""
    logging.use_absl_handler()
    logging.get_absl_handler().python_handler.stream = sys.stderr
    logging.set_verbosity(LEVELS[level])
