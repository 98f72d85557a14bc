"""Send calls to the gates of other nodes."""

import trio
from returns.result import Failure, Success

from persimmonhall.address import parse_address
from persimmonhall.call.gate import Gate
from persimmonhall.call.messages import (
    REPLIES,
    Call,
    Load,
    Reply,
    encode_call,
    refused,
)
from persimmonhall.errors import ErrorKind, Ran, refuse
from persimmonhall.ids import NodeName
from persimmonhall.membership.messages import Member
from persimmonhall.wire.frames import Channel
from persimmonhall.wire.link import LinkPool

NO_LOAD = Load(0, 0, 0, 0)


class Gates:
    """Reach any gate: the own one directly, others by frames."""

    def __init__(self, own: NodeName, gate: Gate, links: LinkPool):
        self._own = own
        self._gate = gate
        self._links = links

    async def call(self, member: Member, call: Call) -> Reply:
        """Run a call at the gate of a member within its remaining time."""
        if member.node == self._own:
            return await self._gate.run(call)
        with trio.move_on_after(call.remaining_ms / 1000):
            return await self._call_remote(member, call)
        refusal = refuse(ErrorKind.DEADLINE_EXCEEDED, f"{member.node} did not answer")
        return refused(refusal, NO_LOAD)

    async def _call_remote(self, member: Member, call: Call) -> Reply:
        address = parse_address(member.frames).unwrap()
        match await self._links.ask(address, Channel.CALL, encode_call(call)):
            case Success(data):
                return REPLIES.decode(data)
            case Failure(error):
                ran = Ran.UNKNOWN if error.sent else Ran.NO
                kind = (
                    ErrorKind.CONNECTION_LOST
                    if error.sent
                    else ErrorKind.CONNECT_FAILED
                )
                return refused(refuse(kind, str(error), ran=ran), NO_LOAD)
