"""Create the at-most-once and quarantine components of a node."""

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
    """Hold the components that a node uses."""

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
    """Create the components for the local node of a member table."""
    own = Holder(members.own.node, members.own.incarnation)

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
