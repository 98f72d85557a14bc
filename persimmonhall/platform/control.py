"""Run a control VM of the platform."""

import sys

from persimmonhall.platform.running import run_program
from persimmonhall.platform.settings import read_control_settings
from persimmonhall.routed_control import run_routed_control
from persimmonhall.status import ExitStatus

PROGRAM = "persimmonhall.platform.control"


def main() -> ExitStatus:
    """Run the program and return its exit status."""
    return run_program(PROGRAM, read_control_settings, run_routed_control)


if __name__ == "__main__":
    sys.exit(main())
