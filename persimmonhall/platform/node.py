"""Run a node beside a backend server of the platform."""

import os
import sys
from functools import partial
from pathlib import Path

import trio
from returns.result import Failure

from persimmonhall.cli.serving import fail
from persimmonhall.platform.dialect import PlatformDialect
from persimmonhall.platform.names import SETTINGS_VARIABLE
from persimmonhall.platform.settings import read_node_settings
from persimmonhall.reload import SettingsSource
from persimmonhall.routed_node import run_routed_node
from persimmonhall.status import ExitStatus

PROGRAM = "persimmonhall.platform.node"


def main() -> ExitStatus:
    """Run the program and return its exit status."""
    path = os.environ.get(SETTINGS_VARIABLE)
    if path is None:
        return fail(PROGRAM, f"{SETTINGS_VARIABLE} is not set", ExitStatus.USAGE)
    source = SettingsSource(Path(path), read_node_settings)
    run = partial(run_routed_node, source, PlatformDialect(), lambda addresses: None)
    match trio.run(run):
        case Failure(reason):
            return fail(PROGRAM, reason, ExitStatus.ERROR)
    return ExitStatus.SUCCESS


if __name__ == "__main__":
    sys.exit(main())
