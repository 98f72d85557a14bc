"""Configure logging of all programs."""

import logging as standard_logging
import sys

from absl import logging

from persimmonhall.events import Event, EventLog

LOG_LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


def set_up_logs(level: str) -> None:
    """Log to standard error from a minimum level up."""
    logging.use_absl_handler()
    logging.get_absl_handler().python_handler.stream = sys.stderr
    logging.set_verbosity(LOG_LEVELS[level])


class _EventHandler(standard_logging.Handler):
    """Write log records as events of an event log."""

    def __init__(self, event_log: EventLog):
        super().__init__()
        self._event_log = event_log

    def emit(self, record: standard_logging.LogRecord) -> None:
        """Write one record as an event."""
        text = record.getMessage()
        if record.exc_info:
            text += " " + standard_logging.Formatter().formatException(record.exc_info)
        self._event_log.emit(Event.LOG, level=record.levelname.lower(), text=text)


def route_logs_to_events(event_log: EventLog) -> None:
    """Route the log records of all modules, from info level up, to an event log."""
    logger = standard_logging.getLogger("absl")
    logger.handlers = [_EventHandler(event_log)]
    logger.propagate = False
    logging.set_verbosity(logging.INFO)
