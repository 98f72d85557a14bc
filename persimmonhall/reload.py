"""Reload the settings when the file changes or on SIGHUP."""

import signal
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Generic, TypeVar

import trio
from returns.result import Failure, Result, Success

from persimmonhall.events import Event, EventLog

S = TypeVar("S")

CHECK_S = 1.0


@dataclass(frozen=True)
class SettingsSource(Generic[S]):
    """Define the settings file of a program and how to read it."""

    path: Path
    read: Callable[[Path], Result[S, str]]

    def load(self) -> Result[S, str]:
        """Return checked settings, or a one-line error."""
        return self.read(self.path)

    def text(self) -> bytes:
        """Return the content of the file, empty if it cannot be read."""
        try:
            return self.path.read_bytes()
        except OSError:
            # The next load reports the error; an unreadable file counts as unchanged.
            return b""


async def watch_settings(
    source: SettingsSource[S], take: Callable[[S], None], log: EventLog
) -> None:
    """Reload the settings on SIGHUP or when the file changes, until cancelled."""
    asked = trio.Event()

    async def wait_for_signal() -> None:
        with trio.open_signal_receiver(signal.SIGHUP) as received:
            async for _ in received:
                asked.set()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(wait_for_signal)
        known = source.text()
        while True:
            with trio.move_on_after(CHECK_S):
                await asked.wait()
            is_asked, asked = asked.is_set(), trio.Event()
            text = source.text()
            if not is_asked and text in (known, b""):
                continue
            known = text
            match source.load():
                case Success(settings):
                    take(settings)
                    log.emit(Event.RELOAD, by_signal=is_asked)
                case Failure(reason):
                    log.emit(Event.RELOAD_FAILED, by_signal=is_asked, reason=reason)
