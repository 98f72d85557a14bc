"""Implement persimmonhall, the operator's command line."""

import argparse
import json
import sys
import uuid
from pathlib import Path

import trio
from returns.result import Failure, Result, Success

from persimmonhall.cli.explain import explain
from persimmonhall.cli.node_client import document_status, drain
from persimmonhall.cli.operator_arguments import make_operator_parser
from persimmonhall.cli.operator_status import format_status_table, gather_status
from persimmonhall.cli.organisations import format_organisations, read_organisations
from persimmonhall.cli.quarantine import run_quarantine
from persimmonhall.control.admin_client import AdminClient
from persimmonhall.dialect import NativeDialect
from persimmonhall.document.schema import parse_document
from persimmonhall.errors import ErrorKind, Refusal, refuse
from persimmonhall.settings import OperatorSettings, load_settings
from persimmonhall.status import ExitStatus, report_error

PROGRAM = "persimmonhall"
EXIT_STATUSES = {
    ErrorKind.NO_QUORUM: ExitStatus.UNREACHABLE,
    ErrorKind.CONNECT_FAILED: ExitStatus.UNREACHABLE,
    ErrorKind.REVISION_CONFLICT: ExitStatus.CONFLICT,
    ErrorKind.INVALID_DOCUMENT: ExitStatus.USAGE,
    ErrorKind.INVALID_RELEASE: ExitStatus.USAGE,
    ErrorKind.RELEASE_CONFLICT: ExitStatus.CONFLICT,
}


def main(arguments: list[str] | None = None) -> ExitStatus:
    """Run one command and return its exit status."""
    options = make_operator_parser().parse_args(arguments)
    if options.command == "check":
        return _check_document(options.file)
    if options.command == "explain":
        return explain(options.request, options.files)
    if options.command == "quarantine":
        return _print_result(trio.run(run_quarantine, options), options)
    if getattr(options, "node", None) is not None:
        return _print_result(trio.run(_run_node_command, options), options)
    if options.settings is None:
        return report_error(PROGRAM, "--settings FILE is required", ExitStatus.USAGE)
    match load_settings(OperatorSettings, options.settings):
        case Failure(reason):
            return report_error(PROGRAM, reason, ExitStatus.USAGE)
        case Success(settings):
            client = AdminClient(settings.operator.control, settings.operator.token)
    return _print_result(trio.run(_run_command, options, client), options)


def _print_result(
    result: Result[object, Refusal], options: argparse.Namespace
) -> ExitStatus:
    match result:
        case Failure(refusal):
            status = EXIT_STATUSES.get(refusal.kind, ExitStatus.REFUSED)
            return report_error(
                PROGRAM, f"{refusal.kind.value}: {refusal.detail}", status
            )
        case Success(body):
            _print_body(body, options)
    return ExitStatus.SUCCESS


def _check_document(path: Path) -> ExitStatus:
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return report_error(
            PROGRAM, f"{path}: cannot be read: {error}", ExitStatus.USAGE
        )
    match parse_document(text):
        case Failure(problems):
            for problem in problems:
                print(f"{path}: {problem}", file=sys.stderr)
            return ExitStatus.USAGE
    print(f"{path}: ok")
    return ExitStatus.SUCCESS


async def _run_node_command(options: argparse.Namespace) -> Result[object, Refusal]:
    match (options.command, getattr(options, "action", None)):
        case ("drain", _):
            return await drain(options.node)
        case ("document", "status"):
            return await document_status(options.node)
        case ("organisations", _):
            return await read_organisations(options.node)


async def _run_command(
    options: argparse.Namespace, client: AdminClient
) -> Result[object, Refusal]:
    match (options.command, getattr(options, "action", None)):
        case ("status", _):
            return await gather_status(client)
        case ("document", "list"):
            return await client.get("/documents")
        case ("document", "get"):
            return await client.get(f"/documents/{options.service}")
        case ("document", "history"):
            return await client.get(f"/documents/{options.service}/history")
        case ("replica", "list"):
            return await client.get("/replicas")
        case ("replica", "remove"):
            return await client.delete(f"/replicas/{options.name}")
        case ("document", "put"):
            return await _put_document(options, client)
        case ("release", "get"):
            return await client.get("/release")
        case ("release", "put"):
            return await _put_release(options.file, client)


async def _put_document(
    options: argparse.Namespace, client: AdminClient
) -> Result[object, Refusal]:
    try:
        text = options.file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        detail = f"{options.file}: cannot be read: {error}"
        return Failure(refuse(ErrorKind.INVALID_DOCUMENT, detail))
    match parse_document(text):
        case Failure(problems):
            detail = f"{options.file}: {problems[0]}"
            return Failure(refuse(ErrorKind.INVALID_DOCUMENT, detail))
        case Success(document):
            change = options.change or uuid.uuid4().hex
    return await client.put_document(document.service, text, options.revision, change)


async def _put_release(path: Path, client: AdminClient) -> Result[object, Refusal]:
    try:
        text = path.read_bytes()
    except OSError as error:
        detail = f"{path}: cannot be read: {error}"
        return Failure(refuse(ErrorKind.INVALID_RELEASE, detail))
    match NativeDialect().decode_release(text):
        case Failure(reason):
            return Failure(refuse(ErrorKind.INVALID_RELEASE, f"{path}: {reason}"))
    return await client.put_release(text)


def _print_body(body: object, options: argparse.Namespace) -> None:
    if options.json or options.command == "release":
        print(json.dumps(body))
    elif options.command == "status":
        print(format_status_table(body))
    elif options.command == "organisations":
        print(format_organisations(body))
    elif isinstance(body, list):
        for row in body:
            print("  ".join(f"{key}={value}" for key, value in row.items()))
    elif "text" in body:
        print(body["text"], end="")
    else:
        for key, value in body.items():
            print(f"{key}: {value}")


if __name__ == "__main__":
    sys.exit(main())
