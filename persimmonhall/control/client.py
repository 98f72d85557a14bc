"""Speak to the control VMs from a node."""

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
    Submitted,
)
from persimmonhall.errors import ErrorKind, Ran, Refusal, refuse
from persimmonhall.ids import LogIndex
from persimmonhall.wire.frames import Channel
from persimmonhall.wire.link import LinkPool

TRY_TIMEOUT_S = 1.5
SUBMIT_TIMEOUT_S = 5.0


class ControlClient:
    """Try the control VMs one after the other, the last that answered first."""

    def __init__(self, links: LinkPool, addresses: tuple[Address, ...]):
        self._links = links
        self._addresses = list(addresses)

    async def fetch_documents(self, after: LogIndex) -> Result[Documents, Refusal]:
        """Return the documents accepted after an index, current ones if possible."""
        payload = ASKS.encode(FetchDocuments(after))
        outdated: Result[Documents, Refusal] | None = None
        result = _no_control()
        for address in tuple(self._addresses):
            result = await self._try(address, payload, TRY_TIMEOUT_S)
            match result:
                case Success(Documents(current=True)):
                    self._prefer(address)
                    return result
                case Success():
                    outdated = result
        return outdated or result

    async def submit(self, command: Command) -> Result[CommandReply, Refusal]:
        """Append a command to the log and return its reply."""
        payload = ASKS.encode(Submit(COMMANDS.encode(command)))
        refusal = _no_control().failure()
        for address in tuple(self._addresses):
            match await self._try(address, payload, SUBMIT_TIMEOUT_S):
                case Success(reply):
                    self._prefer(address)
                    return Success(COMMAND_REPLIES.decode(reply.reply))
                case Failure(refusal):
                    if refusal.ran is not Ran.NO:
                        break
        return Failure(refusal)

    async def _try(self, address: Address, payload: bytes, timeout_s: float) -> Result:
        self._demote(address)
        with trio.move_on_after(timeout_s):
            match await self._links.ask(address, Channel.CONTROL, payload):
                case Success(data):
                    return _read(REPLIES.decode(data))
                case Failure(error):
                    ran = Ran.UNKNOWN if error.sent else Ran.NO
                    return Failure(refuse(ErrorKind.NO_QUORUM, str(error), ran=ran))
        self._links.reset(address)
        detail = f"{address} did not answer in time"
        return Failure(refuse(ErrorKind.NO_QUORUM, detail, ran=Ran.UNKNOWN))

    def _prefer(self, address: Address) -> None:
        self._addresses.remove(address)
        self._addresses.insert(0, address)

    def _demote(self, address: Address) -> None:
        # Until it answers, a control VM comes last, even if the wait is cancelled.
        self._addresses.remove(address)
        self._addresses.append(address)


def _no_control() -> Result:
    return Failure(refuse(ErrorKind.NO_QUORUM, "no control VM is configured"))


def _read(reply: Documents | Submitted | Declined) -> Result:
    if isinstance(reply, Declined):
        return Failure(refuse(reply.kind, reply.detail, ran=reply.ran))
    return Success(reply)
