"""Create the initial member record of this process."""

import time

from persimmonhall.address import Address
from persimmonhall.ids import NodeName, ServiceName, ZoneName
from persimmonhall.membership.messages import Member, MemberState


def make_initial_member(
    node: NodeName,
    zone: ZoneName,
    region: str,
    frames: Address,
    service: ServiceName | None = None,
) -> Member:
    """Return a record that serves the given service or, without one, none yet."""
    return Member(
        node=node,
        zone=zone,
        region=region,
        frames=str(frames),
        incarnation=time.time_ns() // 1_000_000,
        version=0,
        service=service or ServiceName(""),
        slots=1 if service else 0,
        state=MemberState.READY if service else MemberState.EMPTY,
    )
