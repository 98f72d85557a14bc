"""Define the messages that request retry tokens from the entry node of a root."""

from dataclasses import dataclass
from pathlib import Path

from persimmonhall.ids import RootId
from persimmonhall.wire.codec import decode, encode, load_schema

SCHEMA = load_schema(Path(__file__).with_name("messages.capnp"))


@dataclass(frozen=True)
class SpendToken:
    """Request one retry token of a root."""

    root: RootId


@dataclass(frozen=True)
class TokenReply:
    """Report whether the token was granted."""

    granted: bool


def encode_spend(spend: SpendToken) -> bytes:
    """Encode a token request."""
    return encode(SCHEMA.SpendToken, spend)


def decode_spend(data: bytes) -> SpendToken:
    """Decode a token request; raise ValueError on invalid bytes."""
    return decode(SCHEMA.SpendToken, SpendToken, data)


def encode_token_reply(reply: TokenReply) -> bytes:
    """Encode a token reply."""
    return encode(SCHEMA.TokenReply, reply)


def decode_token_reply(data: bytes) -> TokenReply:
    """Decode a token reply; raise ValueError on invalid bytes."""
    return decode(SCHEMA.TokenReply, TokenReply, data)
