"""Implement persimmonhall-load."""

import json
import sys

import trio
from returns.result import Failure, Success

from persimmonhall.cli.common_arguments import (
    add_check_option,
    add_settings_option,
    make_parser,
)
from persimmonhall.load.load_generator import LoadGenerator
from persimmonhall.load.settings import LoadSettings
from persimmonhall.settings import load_settings
from persimmonhall.status import ExitStatus, report_error

DESCRIPTION = "Send open-loop load to a running system and report the results."

EXAMPLES = """\
  persimmonhall-load --settings load.toml
  persimmonhall-load --settings load.toml --json > result.json"""


def main(arguments: list[str] | None = None) -> ExitStatus:
    """Run the program and return its exit status."""
    parser = make_parser("persimmonhall-load", DESCRIPTION, EXAMPLES)
    add_settings_option(parser)
    add_check_option(parser)
    parser.add_argument("--json", action="store_true", help="print JSON")
    options = parser.parse_args(arguments)
    match load_settings(LoadSettings, options.settings):
        case Failure(reason):
            return report_error(parser.prog, reason, ExitStatus.USAGE)
        case Success(settings):
            pass
    if options.check:
        print(f"{options.settings}: ok")
        return ExitStatus.SUCCESS
    report = trio.run(LoadGenerator(settings).run)
    print(json.dumps(report.as_dict()) if options.json else report.format_table())
    return ExitStatus.SUCCESS


if __name__ == "__main__":
    sys.exit(main())
