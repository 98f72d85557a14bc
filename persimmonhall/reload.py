"""Read the settings again when the file changes or a signal asks for it."""

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
    """Read the settings of one program from its file."""

    path: Path
    read: Callable[[Path], Result[S, str]]

    def load(self) -> Result[S, str]:
        """Return checked settings, or one line on what is wrong."""
        return self.read(self.path)

    def text(self) -> bytes:
        """Return the file as it is, nothing if it cannot be read."""
        try:
            return self.path.read_bytes()
        except OSError:
            # The next load says why; until then nothing has changed.
            return b""


async def watch_settings(
    source: SettingsSource[S], take: Callable[[S], None], log: EventLog
) -> None:
    """Hand over the settings after a hang-up signal or a change, until cancelled."""
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
