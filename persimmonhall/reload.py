"""Reload the settings when the file changes or on SIGHUP."""

import signal
from collections.abc import Callable, Sequence
from dataclasses import dataclass, fields, is_dataclass
from pathlib import Path
from typing import Generic, TypeVar

import trio
from returns.result import Failure, Result, Success

from persimmonhall.address import Address
from persimmonhall.events import Event, EventLog

S = TypeVar("S")

CHECK_INTERVAL_S = 1.0


@dataclass(frozen=True)
class SettingsSource(Generic[S]):
    """Define the settings file of a program and how to read it."""

    path: Path
    read: Callable[[Path], Result[S, str]]

    def load(self) -> Result[S, str]:
        """Return checked settings, or a one-line error."""
        return self.read(self.path)

    def read_bytes(self) -> bytes:
        """Return the content of the file, empty if it cannot be read."""
        try:
            return self.path.read_bytes()
        except OSError:
            # The next load reports the error; an unreadable file counts as unchanged.
            return b""


def changed_fields(old: object, new: object) -> list[str]:
    """Return the dotted names of the fields in which two settings differ."""
    names = []
    for field in fields(old):
        old_value, new_value = getattr(old, field.name), getattr(new, field.name)
        if old_value == new_value:
            continue
        is_section = is_dataclass(old_value) and not isinstance(old_value, Address)
        if is_section and new_value is not None:
            inner = changed_fields(old_value, new_value)
            names += [f"{field.name}.{name}" for name in inner]
        else:
            names.append(field.name)
    return names


async def watch_settings(
    source: SettingsSource[S], on_change: Callable[[S], Sequence[str]], log: EventLog
) -> None:
    """Reload the settings on SIGHUP or when the file changes, until cancelled.

    The callback returns the names of changed fields that bind at the next start only.
    """
    reload_requested = trio.Event()

    async def wait_for_signal() -> None:
        with trio.open_signal_receiver(signal.SIGHUP) as received:
            async for _ in received:
                reload_requested.set()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(wait_for_signal)
        last_content = source.read_bytes()
        while True:
            with trio.move_on_after(CHECK_INTERVAL_S):
                await reload_requested.wait()
            is_requested, reload_requested = reload_requested.is_set(), trio.Event()
            content = source.read_bytes()
            if not is_requested and content in (last_content, b""):
                continue
            last_content = content
            match source.load():
                case Success(settings):
                    at_restart = on_change(settings)
                    log.emit(
                        Event.RELOAD, by_signal=is_requested, at_restart=at_restart
                    )
                case Failure(reason):
                    log.emit(Event.RELOAD_FAILED, by_signal=is_requested, reason=reason)
