"""Create the at-most-once and quarantine components of a node."""

import random
from collections.abc import Callable
from dataclasses import dataclass

import trio

from persimmonhall.control.client import ControlClient
from persimmonhall.ids import NodeName
from persimmonhall.membership.table import MemberTable
from persimmonhall.once.claim_completer import ClaimCompleter
from persimmonhall.once.claimer import Claimer, NodeIncarnation
from persimmonhall.once.crash_detector import CrashDetector
from persimmonhall.once.propagation import SuspectPropagator
from persimmonhall.once.quarantine import Quarantine
from persimmonhall.once.quorum import QuorumMonitor
from persimmonhall.once.runner import OnceRunner
from persimmonhall.once.suspects import SuspectTable
from persimmonhall.wire.link import LinkPool


@dataclass(frozen=True)
class OnceService:
    """Hold the components that a node uses."""

    runner: OnceRunner
    quarantine: Quarantine
    propagator: SuspectPropagator
    completer: ClaimCompleter


def open_once_service(
    members: MemberTable,
    control: ControlClient,
    links: LinkPool,
    nursery: trio.Nursery,
    on_death: Callable[[], None],
    rng: random.Random,
) -> OnceService:
    """Create the components for the local node of a member table."""
    local_node = NodeIncarnation(
        members.local_member.node, members.local_member.incarnation
    )

    def is_live(node: NodeName, incarnation: int) -> bool:
        if node == local_node.node:
            return incarnation == local_node.incarnation
        return members.get(node) is not None

    completer = ClaimCompleter(control, nursery)
    quorum = QuorumMonitor(control, nursery)
    claimer = Claimer(local_node, control, completer, quorum, is_live)
    claimer.mark_earlier_runs_lost()
    suspects = SuspectTable()
    propagator = SuspectPropagator(suspects, members, links, nursery, rng)
    crash_detector = CrashDetector(local_node, suspects, propagator, on_death)
    quarantine = Quarantine(suspects, members, propagator)
    return OnceService(
        OnceRunner(claimer, crash_detector), quarantine, propagator, completer
    )
