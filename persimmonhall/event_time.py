"""Read the clock once for each event instead of at each step that handles it."""

import trio

_event_time: float | None = None


def current_time() -> float:
    """Return when the event in progress began to be handled, else the time now.

    Seconds of the event loop's clock. Between events it is the same as trio's function.
    """
    return trio.current_time() if _event_time is None else _event_time


def set_event_time(now: float | None) -> None:
    """Set the time of the event in progress; None at the end of a series of events."""
    global _event_time
    _event_time = now
