"""Implement persimmonhall-control."""

import sys

from persimmonhall.cli.common_arguments import make_parser
from persimmonhall.cli.serving import serve_program
from persimmonhall.control.run import run_control
from persimmonhall.settings import ControlSettings
from persimmonhall.status import ExitStatus

DESCRIPTION = """\
Keep the replicated log on disk and serve the administration API."""

EXAMPLES = """\
  persimmonhall-control --settings control.toml --check
  persimmonhall-control --settings control.toml --bootstrap
  persimmonhall-control --settings control.toml"""


def main(arguments: list[str] | None = None) -> ExitStatus:
    """Run the program and return its exit status."""
    parser = make_parser("persimmonhall-control", DESCRIPTION, EXAMPLES)
    parser.add_argument(
        "--bootstrap",
        action="store_true",
        help="create a new cluster in an empty data folder; once, on one control VM",
    )
    return serve_program(
        parser, arguments, ControlSettings, run_control, options=("bootstrap",)
    )


if __name__ == "__main__":
    sys.exit(main())
