"""Acquire retry tokens from the entry node of a root request."""

import trio
from returns.result import Success

from persimmonhall.address import parse_address
from persimmonhall.ids import NodeName, RootId
from persimmonhall.membership.table import MemberTable
from persimmonhall.routing.messages import (
    SpendToken,
    TokenReply,
    decode_spend,
    decode_token_reply,
    encode_spend,
    encode_token_reply,
)
from persimmonhall.routing.retry_ledger import RetryLedger
from persimmonhall.wire.frames import Channel
from persimmonhall.wire.link import LinkPool

TOKEN_TIMEOUT_S = 0.1


class RetryTokens:
    """Acquire tokens here or at another entry node; no reply means no token."""

    def __init__(
        self,
        local_node: NodeName,
        ledger: RetryLedger,
        table: MemberTable,
        links: LinkPool,
    ):
        self._local_node = local_node
        self._ledger = ledger
        self._table = table
        self._links = links

    def open(self, root: RootId, tokens: int, deadline: float) -> None:
        """Grant tokens to a root that enters at this node."""
        self._ledger.open(root, tokens, deadline)

    def close(self, root: RootId) -> bool:
        """Forget a root that entered at this node; return whether it spent a token."""
        return self._ledger.close(root)

    async def acquire(self, root: RootId, entry: NodeName) -> bool:
        """Acquire one token of a root from its entry node; return False if refused."""
        if entry == self._local_node:
            return self._ledger.spend(root, trio.current_time())
        member = self._table.get(entry)
        if member is None:
            return False
        with trio.move_on_after(TOKEN_TIMEOUT_S):
            return await self._request_token(member.frames, root)
        return False

    async def handle(self, payload: bytes) -> bytes:
        """Handle the token request of another node."""
        root = decode_spend(payload).root
        granted = self._ledger.spend(root, trio.current_time())
        return encode_token_reply(TokenReply(granted))

    async def _request_token(self, frames: str, root: RootId) -> bool:
        match parse_address(frames):
            case Success(address):
                payload = encode_spend(SpendToken(root))
                reply = await self._links.request(address, Channel.LEDGER, payload)
            case _:
                return False
        match reply:
            case Success(data):
                return _is_granted(data)
        return False


def _is_granted(data: bytes) -> bool:
    try:
        return decode_token_reply(data).granted
    except ValueError:
        return False
