"""Check the chain header."""

import pytest
from returns.result import Failure

from persimmonhall.call.chain import Chain, parse_chain
from persimmonhall.document.schema import Worth


def test_chain_header_round_trip():
    chain = Chain("r1", "suva-cue-1", 3, Worth.CRITICAL, 250)
    assert parse_chain(chain.encode().decode()).unwrap() == chain


@pytest.mark.parametrize(
    "text",
    ["", "root=1", "root=1;entry=e;depth=99;worth=critical;remaining=1", "root;;=;"],
)
def test_malformed_header_is_rejected(text):
    assert isinstance(parse_chain(text), Failure)
