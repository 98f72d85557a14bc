"""Run a long-running program with its settings file."""

import argparse
import json
from collections.abc import Awaitable, Callable
from dataclasses import asdict
from functools import partial

import trio
from returns.result import Failure, Result, Success

from persimmonhall.cli import common_arguments
from persimmonhall.logs import set_up_logs
from persimmonhall.settings import load_settings
from persimmonhall.status import ExitStatus, report_error


def print_ready(addresses) -> None:
    """Print the addresses that the program listens on as one JSON line."""
    fields = {
        name: f"{value['host']}:{value['port']}"
        for name, value in asdict(addresses).items()
        if value is not None
    }
    print(json.dumps({"ready": fields}), flush=True)


def serve_program(
    parser: argparse.ArgumentParser,
    arguments: list[str] | None,
    settings_class: type,
    run: Callable[..., Awaitable[Result[None, str] | None]],
    *,
    options: tuple[str, ...] = (),
) -> ExitStatus:
    """Check the settings and run the program until it stops."""
    common_arguments.add_settings_option(parser)
    common_arguments.add_log_level_option(parser)
    common_arguments.add_check_option(parser)
    parsed = parser.parse_args(arguments)
    match load_settings(settings_class, parsed.settings):
        case Failure(reason):
            return report_error(parser.prog, reason, ExitStatus.USAGE)
        case Success(settings):
            pass
    if parsed.check:
        print(f"{parsed.settings}: ok")
        return ExitStatus.SUCCESS
    set_up_logs(parsed.log_level)
    program_options = {name: getattr(parsed, name) for name in options}
    return _run(parser.prog, partial(run, **program_options), settings)


def _run(program: str, run: Callable, settings: object) -> ExitStatus:
    try:
        result = trio.run(run, settings, print_ready)
    except (OSError, BaseExceptionGroup) as error:
        reason = _os_error_text(error)
        if reason is None:
            raise
        return report_error(program, reason, ExitStatus.ERROR)
    match result:
        case Failure(reason):
            return report_error(program, reason, ExitStatus.ERROR)
    return ExitStatus.SUCCESS


def _os_error_text(error: BaseException) -> str | None:
    """Return the text of an OSError, unwrapping exception groups of one."""
    while isinstance(error, BaseExceptionGroup) and len(error.exceptions) == 1:
        error = error.exceptions[0]
    return str(error) if isinstance(error, OSError) else None
