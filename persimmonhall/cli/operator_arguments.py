"""Define the arguments of the operator command line."""

import argparse
from pathlib import Path

from persimmonhall.cli.common_arguments import add_settings_option, make_parser
from persimmonhall.cli.quarantine import add_node_option, add_quarantine_command

DESCRIPTION = "Check and change documents and inspect a running system."

EXAMPLES = """\
  persimmonhall check cue.toml
  persimmonhall --settings operator.toml document list
  persimmonhall --settings operator.toml document put cue.toml --revision 3
  persimmonhall --settings operator.toml document get cue
  persimmonhall --settings operator.toml document history cue
  persimmonhall --settings operator.toml replica list
  persimmonhall --settings operator.toml release put release.json
  persimmonhall --settings operator.toml release get
  persimmonhall --settings operator.toml status --json
  persimmonhall quarantine list --node 127.0.0.1:7100
  persimmonhall document status --node 127.0.0.1:7100
  persimmonhall drain --node 127.0.0.1:7100
  persimmonhall organisations --node 127.0.0.1:7100
  persimmonhall explain 9c41d07be2a35f68 logs/*.log"""


def make_operator_parser() -> argparse.ArgumentParser:
    """Return the parser of the operator command line."""
    parser = make_parser("persimmonhall", DESCRIPTION, EXAMPLES)
    add_settings_option(parser, required=False)
    parser.add_argument("--json", action="store_true", help="print JSON")
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    check = commands.add_parser("check", help="check a document file")
    check.add_argument("file", type=Path, metavar="FILE")
    commands.add_parser("status", help="show the state of the control VMs")
    _add_document_command(commands)
    explain = commands.add_parser(
        "explain", help="show the events of one request from collected logs"
    )
    explain.add_argument("request", metavar="ID", help="attempt id of the request")
    explain.add_argument("files", type=Path, nargs="+", metavar="FILE")
    leave = commands.add_parser("drain", help="shut a node down gracefully")
    add_node_option(leave)
    organisations = commands.add_parser(
        "organisations", help="show the rates and quotas of organisations"
    )
    add_node_option(organisations)
    add_quarantine_command(commands)
    _add_replica_command(commands)
    _add_release_command(commands)
    return parser


def _add_release_command(commands: argparse._SubParsersAction) -> None:
    release = commands.add_parser("release", help="read and replace the release")
    actions = release.add_subparsers(dest="action", required=True, metavar="ACTION")
    put = actions.add_parser(
        "put", help="replace the release that the file names as its base"
    )
    put.add_argument("file", type=Path, metavar="FILE", help="JSON file")
    actions.add_parser("get", help="print the active release")


def _add_document_command(commands: argparse._SubParsersAction) -> None:
    document = commands.add_parser("document", help="read and change documents")
    actions = document.add_subparsers(dest="action", required=True, metavar="ACTION")
    put = actions.add_parser("put", help="replace a document")
    put.add_argument("file", type=Path, metavar="FILE")
    put.add_argument(
        "--revision",
        type=int,
        required=True,
        metavar="N",
        help="revision that this change replaces; 0 for a new document",
    )
    put.add_argument(
        "--change",
        default="",
        metavar="ID",
        help="id of the change; use the same id to resend it safely",
    )
    get = actions.add_parser("get", help="print a document")
    get.add_argument("service", metavar="SERVICE")
    history = actions.add_parser("history", help="show who changed a document")
    history.add_argument("service", metavar="SERVICE")
    actions.add_parser("list", help="list the documents and their revisions")
    status = actions.add_parser(
        "status", help="show on how many nodes each revision is active"
    )
    add_node_option(status)


def _add_replica_command(commands: argparse._SubParsersAction) -> None:
    replica = commands.add_parser("replica", help="list or remove control VMs")
    actions = replica.add_subparsers(dest="action", required=True, metavar="ACTION")
    actions.add_parser("list", help="list the replica set")
    remove = actions.add_parser("remove", help="remove a control VM that was stopped")
    remove.add_argument("name", metavar="NAME")
