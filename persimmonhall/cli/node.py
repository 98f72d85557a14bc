"""Implement persimmonhall-node."""

import sys
from functools import partial
from pathlib import Path

from returns.result import Result

from persimmonhall.cli.common_arguments import make_parser
from persimmonhall.cli.serving import serve_program
from persimmonhall.dialect import NativeDialect
from persimmonhall.node import run_node
from persimmonhall.reload import SettingsSource
from persimmonhall.routed_node import run_routed_node
from persimmonhall.settings import NodeSettings, load_settings
from persimmonhall.status import ExitStatus

DESCRIPTION = """\
Serve callers, protect the backend server of this machine and route calls."""

EXAMPLES = """\
  persimmonhall-node --settings node.toml --check
  persimmonhall-node --settings node.toml --log-level warning"""


def main(arguments: list[str] | None = None) -> ExitStatus:
    """Run the program and return its exit status."""
    parser = make_parser("persimmonhall-node", DESCRIPTION, EXAMPLES)
    return serve_program(parser, arguments, NodeSettings, _run, options=("settings",))


async def _run(
    node_settings: NodeSettings, on_ready, *, settings: Path
) -> Result[None, str] | None:
    """Serve the routes of releases if the settings have them, else documents."""
    if node_settings.releases is None:
        return await run_node(node_settings, on_ready)
    source = SettingsSource(settings, partial(load_settings, NodeSettings))
    return await run_routed_node(source, NativeDialect(), on_ready)


if __name__ == "__main__":
    sys.exit(main())
