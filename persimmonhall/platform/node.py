"""Run a node beside a backend server of the platform."""

import sys

from persimmonhall.platform.running import run_program
from persimmonhall.platform.settings import read_node_settings
from persimmonhall.routed_node import run_routed_node
from persimmonhall.status import ExitStatus

PROGRAM = "persimmonhall.platform.node"


def main() -> ExitStatus:
    """Run the program and return its exit status."""
    return run_program(PROGRAM, read_node_settings, run_routed_node)


if __name__ == "__main__":
    sys.exit(main())
