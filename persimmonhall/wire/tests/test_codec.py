"""Test encoding and decoding of messages."""

import pytest

from persimmonhall.call.messages import decode_call, encode_call
from persimmonhall.control.messages import COMMANDS, NoOp
from tests.builders import make_call, make_put_document


def test_call_round_trip():
    call = make_call(body=b"\x00" * 100_000)
    assert decode_call(encode_call(call)) == call


@pytest.mark.parametrize("command", [make_put_document(), NoOp()])
def test_union_round_trip(command):
    assert COMMANDS.decode(COMMANDS.encode(command)) == command


@pytest.mark.parametrize("damage", [b"", b"\xff" * 64, encode_call(make_call())[:40]])
def test_damaged_bytes_raise_value_error(damage):
    with pytest.raises(ValueError, match="damaged message"):
        decode_call(damage)
