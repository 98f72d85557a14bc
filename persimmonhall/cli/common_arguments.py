"""Define the command-line arguments shared by all programs."""

import argparse
from pathlib import Path

from persimmonhall import __version__
from persimmonhall.logs import LOG_LEVELS


def make_parser(
    program: str, description: str, examples: str
) -> argparse.ArgumentParser:
    """Return a parser with the shared arguments."""
    parser = argparse.ArgumentParser(
        prog=program,
        description=description,
        epilog=f"examples:\n{examples}",
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        "--version", action="version", version=f"%(prog)s {__version__}"
    )
    return parser


def add_settings_option(
    parser: argparse.ArgumentParser, *, required: bool = True
) -> None:
    """Add the option for the settings file."""
    parser.add_argument(
        "--settings",
        type=Path,
        metavar="FILE",
        required=required,
        help="TOML settings file",
    )


def add_log_level_option(parser: argparse.ArgumentParser) -> None:
    """Add the option for the log level."""
    parser.add_argument(
        "--log-level",
        choices=list(LOG_LEVELS),
        default="info",
        help="minimum level of log lines on standard error (default: info)",
    )


def add_check_option(parser: argparse.ArgumentParser) -> None:
    """Add the option to check the settings only."""
    parser.add_argument(
        "--check",
        action="store_true",
        help="check the settings file and exit",
    )
