"""Build test data with defaults that a test may override."""

from dataclasses import replace

from persimmonhall.admission.messages import Ticket
from persimmonhall.call.messages import Call
from persimmonhall.document.messages import HeldDocument, PutDocument
from persimmonhall.document.schema import Worth
from persimmonhall.ids import (
    ChangeId,
    IdempotencyKey,
    LogIndex,
    NodeName,
    Revision,
    RootId,
    ServiceName,
    TicketId,
    ZoneName,
)
from persimmonhall.membership.messages import Member, MemberState
from persimmonhall.membership.table import MemberTable

CUE_DOCUMENT = """\
service = "cue"
team = "publishing"

[[requests]]
path = "/publish/warnings"
method = "POST"
worth = "critical"
deadline_ms = 3000

[[requests]]
path = "/segments/*"
worth = "standard"
idempotent = true
"""


def make_put(**changes) -> PutDocument:
    """Build a change of the cue document."""
    put = PutDocument(
        change_id=ChangeId("change-1"),
        service=ServiceName("cue"),
        expected_revision=Revision(0),
        text=CUE_DOCUMENT,
        author="publishing",
        team="publishing",
    )
    return replace(put, **changes)


def make_held(**changes) -> HeldDocument:
    """Build an accepted revision of the cue document."""
    held = HeldDocument(
        service=ServiceName("cue"),
        revision=Revision(1),
        text=CUE_DOCUMENT,
        team="publishing",
        author="publishing",
        change_id=ChangeId("change-1"),
        index=LogIndex(1),
    )
    return replace(held, **changes)


def make_ticket(number: int, **changes) -> Ticket:
    """Build a ticket whose root sorts by its number."""
    ticket = Ticket(
        id=TicketId(number),
        root=RootId(f"root-{number:04}"),
        worth=Worth.STANDARD,
        deadline=10.0,
    )
    return replace(ticket, **changes)


def make_call(**changes) -> Call:
    """Build a call of the cue service."""
    call = Call(
        service=ServiceName("cue"),
        method="GET",
        target="/segments/7",
        headers=(b"accept", b"*/*"),
        body=b"",
        root=RootId("root-1"),
        entry=NodeName("suva-cue-1"),
        depth=0,
        worth=Worth.STANDARD,
        remaining_ms=1000,
        idempotent=True,
        key=IdempotencyKey(""),
        max_answer_bytes=1000,
    )
    return replace(call, **changes)


def make_member(number: int, **changes) -> Member:
    """Build a member whose backend server is ready."""
    member = Member(
        node=NodeName(f"suva-cue-{number}"),
        zone=ZoneName("suva"),
        region="viti",
        frames=f"127.0.0.1:{7000 + number}",
        incarnation=1,
        version=1,
        service=ServiceName("cue"),
        slots=4,
        state=MemberState.READY,
    )
    return replace(member, **changes)


def merge_members(table: MemberTable, members: list[Member]) -> None:
    """Put members into a table."""
    for member in members:
        table.put(member)
