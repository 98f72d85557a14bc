"""Implement persimmonhall-control."""

import sys

from returns.result import Result

from persimmonhall.cli.common_arguments import make_parser
from persimmonhall.cli.serving import serve_program
from persimmonhall.control.run import run_control
from persimmonhall.control.serve_releases import ReleaseComponents
from persimmonhall.dialect import NativeDialect
from persimmonhall.events import EventLog
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
        parser, arguments, ControlSettings, _run, options=("bootstrap",)
    )


async def _run(
    settings: ControlSettings, on_ready, *, bootstrap: bool
) -> Result[None, str]:
    """Serve releases and membership too if the settings have an address for them."""
    components = None
    if settings.control.releases is not None:
        components = ReleaseComponents(NativeDialect(), EventLog(settings.control.name))
    return await run_control(
        settings, on_ready, bootstrap=bootstrap, releases=components
    )


if __name__ == "__main__":
    sys.exit(main())
