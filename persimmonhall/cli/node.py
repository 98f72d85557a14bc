"""Run persimmonhall-node."""

import sys

from persimmonhall.cli.definition import make_parser
from persimmonhall.cli.serving import serve_program
from persimmonhall.node import run_node
from persimmonhall.settings import NodeSettings
from persimmonhall.status import ExitStatus

DESCRIPTION = """\
Serve callers, guard the backend server of this machine and route calls."""

EXAMPLES = """\
  persimmonhall-node --settings node.toml --check
  persimmonhall-node --settings node.toml --log-level warning"""


def main(arguments: list[str] | None = None) -> ExitStatus:
    """Run the program and return its exit status."""
    parser = make_parser("persimmonhall-node", DESCRIPTION, EXAMPLES)
    return serve_program(parser, arguments, NodeSettings, run_node)


if __name__ == "__main__":
    sys.exit(main())
