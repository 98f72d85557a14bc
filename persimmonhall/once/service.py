"""Put the parts of the slice together on a node."""

import random
from collections.abc import Callable
from dataclasses import dataclass

import trio

from persimmonhall.control.client import ControlClient
from persimmonhall.ids import NodeName
from persimmonhall.membership.table import MemberTable
from persimmonhall.once.claimer import Claimer, Holder
from persimmonhall.once.crash_watch import CrashWatch
from persimmonhall.once.quarantine import Quarantine
from persimmonhall.once.quorum import QuorumWatch
from persimmonhall.once.runner import OnceRunner
from persimmonhall.once.settler import Settler
from persimmonhall.once.spread import SuspectSpreader
from persimmonhall.once.suspects import SuspectTable
from persimmonhall.wire.link import LinkPool


@dataclass(frozen=True)
class OnceService:
    """Hold what a node uses of the slice."""

    runner: OnceRunner
    quarantine: Quarantine
    spreader: SuspectSpreader
    settler: Settler


def open_once(
    members: MemberTable,
    control: ControlClient,
    links: LinkPool,
    nursery: trio.Nursery,
    on_death: Callable[[], None],
    rng: random.Random,
) -> OnceService:
    """Build the parts for the node that owns a member table."""
    own = Holder(members.local_member.node, members.local_member.incarnation)

    def is_live(node: NodeName, incarnation: int) -> bool:
        if node == own.node:
            return incarnation == own.incarnation
        return members.get(node) is not None

    settler = Settler(control, nursery)
    quorum = QuorumWatch(control, nursery)
    claimer = Claimer(own, control, settler, quorum, is_live)
    claimer.lose_earlier_runs()
    suspects = SuspectTable()
    spreader = SuspectSpreader(suspects, members, links, nursery, rng)
    crashes = CrashWatch(own, suspects, spreader, on_death)
    quarantine = Quarantine(suspects, members, spreader)
    return OnceService(OnceRunner(claimer, crashes), quarantine, spreader, settler)
