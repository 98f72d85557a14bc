"""Define what a hop asks of the entry node of its root."""

from dataclasses import dataclass
from pathlib import Path

from persimmonhall.ids import RootId
from persimmonhall.wire.codec import decode, encode, load_schema

SCHEMA = load_schema(Path(__file__).with_name("messages.capnp"))


@dataclass(frozen=True)
class SpendToken:
    """Ask for one retry token of a root."""

    root: RootId


@dataclass(frozen=True)
class TokenReply:
    """Tell whether the token was granted."""

    granted: bool


def encode_spend(spend: SpendToken) -> bytes:
    """Write a request for a token as bytes."""
    return encode(SCHEMA.SpendToken, spend)


def decode_spend(data: bytes) -> SpendToken:
    """Read a request for a token; raise ValueError on damaged bytes."""
    return decode(SCHEMA.SpendToken, SpendToken, data)


def encode_token_reply(reply: TokenReply) -> bytes:
    """Write the reply as bytes."""
    return encode(SCHEMA.TokenReply, reply)


def decode_token_reply(data: bytes) -> TokenReply:
    """Read the reply; raise ValueError on damaged bytes."""
    return decode(SCHEMA.TokenReply, TokenReply, data)
