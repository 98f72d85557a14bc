"""Send calls to the gates of all nodes."""

from dataclasses import replace

import trio
from returns.result import Failure, Success

from persimmonhall.address import Address, parse_address
from persimmonhall.call.gate import Gate
from persimmonhall.call.messages import (
    REPLIES,
    Call,
    Reply,
    encode_call,
    make_refused,
)
from persimmonhall.errors import ErrorKind, Ran, Refusal, refuse
from persimmonhall.ids import NodeName
from persimmonhall.membership.messages import Member
from persimmonhall.routing.load import Load
from persimmonhall.wire.answer_memory import AnswerReservation
from persimmonhall.wire.frames import Channel
from persimmonhall.wire.link import LinkError, LinkPool

NO_LOAD = Load(0, 0, 0, 0)
MAX_REPLY_MARGIN_MS = 10
REPLY_MARGIN_DIVISOR = 20


class GateClient:
    """Call the local gate directly and other gates over links."""

    def __init__(self, local_node: NodeName, gate: Gate, links: LinkPool):
        self._local_node = local_node
        self._gate = gate
        self._links = links

    async def call(
        self, member: Member, call: Call, reservation: AnswerReservation | None = None
    ) -> Reply:
        """Run a call at the gate of a member within its remaining time."""
        with trio.move_on_after(call.remaining_ms / 1000):
            return await self._call(member, _with_reply_margin(call), reservation)
        detail = f"{member.node} did not answer in time"
        refusal = refuse(ErrorKind.DEADLINE_EXCEEDED, detail, ran=Ran.UNKNOWN)
        return make_refused(refusal, NO_LOAD)

    async def _call(
        self, member: Member, call: Call, reservation: AnswerReservation | None
    ) -> Reply:
        if member.node == self._local_node:
            return await self._gate.run(call, reservation)
        match parse_address(member.frames):
            case Success(address):
                return await self._call_remote(address, call, reservation)
            case Failure(reason):
                refusal = refuse(ErrorKind.CONNECT_FAILED, reason, ran=Ran.NO)
                return make_refused(refusal, NO_LOAD)

    async def _call_remote(
        self, address: Address, call: Call, reservation: AnswerReservation | None
    ) -> Reply:
        payload = encode_call(call)
        match await self._links.request(address, Channel.CALL, payload, reservation):
            case Success(data):
                return _decode_reply(data)
            case Failure(error):
                return make_refused(_link_refusal(error), NO_LOAD)


def _with_reply_margin(call: Call) -> Call:
    """Give the gate an earlier deadline, so that its own refusal arrives in time."""
    margin = min(MAX_REPLY_MARGIN_MS, call.remaining_ms // REPLY_MARGIN_DIVISOR)
    return replace(call, remaining_ms=call.remaining_ms - margin)


def _decode_reply(data: bytes) -> Reply:
    try:
        return REPLIES.decode(data)
    except ValueError as error:
        refusal = refuse(ErrorKind.CONNECTION_LOST, str(error), ran=Ran.UNKNOWN)
        return make_refused(refusal, NO_LOAD)


def _link_refusal(error: LinkError) -> Refusal:
    kind = ErrorKind.CONNECTION_LOST if error.is_sent else ErrorKind.CONNECT_FAILED
    return refuse(kind, str(error), ran=error.ran)
