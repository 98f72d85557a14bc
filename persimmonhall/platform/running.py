"""Run a program with the settings file that an environment variable gives."""

import os
from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path

import trio
from returns.result import Failure, Result

from persimmonhall.platform.dialect import PlatformDialect
from persimmonhall.platform.names import SETTINGS_VARIABLE
from persimmonhall.reload import SettingsSource
from persimmonhall.status import ExitStatus, report_error

Program = Callable[[SettingsSource, PlatformDialect], Awaitable[Result[None, str]]]


def run_program(
    name: str, read_settings: Callable[[Path], Result], program: Program
) -> ExitStatus:
    """Run a program until it stops and return its exit status."""
    path = os.environ.get(SETTINGS_VARIABLE)
    if path is None:
        return report_error(name, f"{SETTINGS_VARIABLE} is not set", ExitStatus.USAGE)
    source = SettingsSource(Path(path), read_settings)
    match trio.run(partial(program, source, PlatformDialect())):
        case Failure(reason):
            return report_error(name, reason, ExitStatus.ERROR)
    return ExitStatus.SUCCESS
