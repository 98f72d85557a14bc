"""List and lift quarantines through a node's loopback API."""

import argparse
import json

import trio
from returns.result import Failure, Result, Success

from persimmonhall.address import Address, parse_address
from persimmonhall.errors import PROBLEM_TYPE_PREFIX, ErrorKind, Refusal, refuse
from persimmonhall.http.client import PooledClient
from persimmonhall.http.messages import HttpAnswer, HttpRequest

QUARANTINE_PATH = "/-/quarantine"
REQUEST_TIMEOUT_S = 5.0
MAX_ANSWER_BYTES = 4 * 1024 * 1024


def add_quarantine_command(commands: argparse._SubParsersAction) -> None:
    """Add the quarantine command and its actions."""
    quarantine = commands.add_parser(
        "quarantine", help="list and lift requests that crash backend servers"
    )
    actions = quarantine.add_subparsers(dest="action", required=True, metavar="ACTION")
    add_node_option(actions.add_parser("list", help="list suspected requests"))
    lift = actions.add_parser("lift", help="allow a quarantined request to run again")
    lift.add_argument("fingerprint", metavar="FINGERPRINT")
    add_node_option(lift)


def add_node_option(parser: argparse.ArgumentParser) -> None:
    """Add the option for the address of a node."""
    parser.add_argument(
        "--node",
        required=True,
        type=_address_argument,
        metavar="IP:PORT",
        help="local address of any node",
    )


def _address_argument(text: str) -> Address:
    match parse_address(text):
        case Success(address):
            return address
        case Failure(reason):
            raise argparse.ArgumentTypeError(reason)


async def run_quarantine(options: argparse.Namespace) -> Result[object, Refusal]:
    """Run one action and return the JSON body of the answer."""
    if options.action == "list":
        return await _send(options.node, "GET", QUARANTINE_PATH)
    return await _send(
        options.node, "DELETE", f"{QUARANTINE_PATH}/{options.fingerprint}"
    )


async def _send(node: Address, method: str, target: str) -> Result[object, Refusal]:
    client = PooledClient(max_connections=1)
    request = HttpRequest(method, target, ())
    with trio.move_on_after(REQUEST_TIMEOUT_S):
        result = await client.send(node, request, MAX_ANSWER_BYTES)
        await client.aclose()
        return result.bind(_decode_answer)
    return Failure(refuse(ErrorKind.CONNECT_FAILED, f"{node} did not answer in time"))


def _decode_answer(answer: HttpAnswer) -> Result[object, Refusal]:
    body = json.loads(answer.body)
    if answer.status < 400:
        return Success(body)
    kind = ErrorKind(body["type"].removeprefix(PROBLEM_TYPE_PREFIX))
    return Failure(refuse(kind, body["detail"]))
