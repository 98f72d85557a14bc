"""Keep an unexpected error in one piece of work from ending the process."""

from collections.abc import Callable

from absl import logging


def call_guarded(function: Callable[..., object], *arguments: object) -> None:
    """Call a function; log an exception instead of raising it."""
    try:
        function(*arguments)
    except Exception:
        logging.exception("unexpected error in %s", function.__qualname__)
