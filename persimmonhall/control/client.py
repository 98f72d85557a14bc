"""Speak to the control VMs from a node."""

import itertools
from collections.abc import Callable

import trio
from returns.result import Failure, Result, Success

from persimmonhall.address import Address
from persimmonhall.control.messages import (
    ASKS,
    COMMAND_REPLIES,
    COMMANDS,
    REPLIES,
    Command,
    CommandReply,
    Declined,
    Documents,
    FetchDocuments,
    Submit,
)
from persimmonhall.errors import ErrorKind, Ran, Refusal, refuse
from persimmonhall.ids import LogIndex
from persimmonhall.wire.frames import Channel
from persimmonhall.wire.link import LinkPool

FETCH_TIMEOUT_S = 1.0


class ControlClient:
    """Try the control VMs one after the other, the last that answered first."""

    def __init__(self, links: LinkPool, addresses: tuple[Address, ...]):
        self._links = links
        self._addresses = list(addresses)
        self._turns = itertools.cycle(addresses)

    async def fetch_documents(self, after: LogIndex) -> Result[Documents, Refusal]:
        """Return the documents accepted after an index, as one control VM knows."""
        # Each in turn: one may be cut off silently, or from the others only.
        address = next(self._turns)
        payload = ASKS.encode(FetchDocuments(after))
        with trio.move_on_after(FETCH_TIMEOUT_S):
            answer = await self._links.ask(address, Channel.CONTROL, payload)
            return answer.map(REPLIES.decode).lash(_fetch_failed).bind(_documents)
        self._links.retire(address)
        return _fetch_failed(f"{address} did not reply in time")

    async def submit(self, command: Command) -> Result[CommandReply, Refusal]:
        """Append a command to the log and return its reply."""
        return await self._ask(
            Submit(COMMANDS.encode(command)),
            lambda reply: COMMAND_REPLIES.decode(reply.reply),
        )

    async def _ask(self, ask, read: Callable) -> Result:
        payload = ASKS.encode(ask)
        failure = refuse(ErrorKind.NO_QUORUM, "no control VM is configured")
        for address in tuple(self._addresses):
            match await self._links.ask(address, Channel.CONTROL, payload):
                case Success(data):
                    reply = REPLIES.decode(data)
                    if not isinstance(reply, Declined):
                        self._prefer(address)
                        return Success(read(reply))
                    failure = refuse(reply.kind, reply.detail, ran=reply.ran)
                case Failure(error):
                    ran = Ran.UNKNOWN if error.sent else Ran.NO
                    failure = refuse(ErrorKind.NO_QUORUM, str(error), ran=ran)
            if failure.ran is not Ran.NO:
                break
        return Failure(failure)

    def _prefer(self, address: Address) -> None:
        self._addresses.remove(address)
        self._addresses.insert(0, address)


def _fetch_failed(error: object) -> Result[Documents, Refusal]:
    return Failure(refuse(ErrorKind.NO_QUORUM, str(error)))


def _documents(reply: Documents | Declined) -> Result[Documents, Refusal]:
    if isinstance(reply, Declined):
        return Failure(refuse(reply.kind, reply.detail, ran=reply.ran))
    return Success(reply)
