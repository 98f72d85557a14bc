"""Encode the watches of nodes and decode the replies of control VMs.

These are some of the messages of control/messages.py, whose other messages a node of
routes would import for nothing.
"""

from pathlib import Path

from persimmonhall.control.declined import Declined
from persimmonhall.release.messages import (
    ConfirmRelease,
    ReleaseConfirmed,
    ReleaseSeen,
    WatchRelease,
)
from persimmonhall.wire.codec import PACKAGE_PATH, UnionCodec, load_schema

SCHEMA = load_schema(PACKAGE_PATH / Path("control", "messages.capnp"))
WATCHES = UnionCodec(SCHEMA.Ask, (WatchRelease, ConfirmRelease))
WATCH_REPLIES = UnionCodec(SCHEMA.Reply, (ReleaseSeen, Declined, ReleaseConfirmed))
