"""Stop the leader of the control VMs while keyed requests are sent."""

import itertools
from dataclasses import dataclass, field

import trio

from harness.leader_fault import disrupt_leader
from harness.system import System
from persimmonhall.errors import ErrorKind
from persimmonhall.once.quorum import QUORUM_TIMEOUT_S
from tests.keyed_request import GATES, NODES, KeyedRequest

CONTROL_VM_COUNT = 3
SLOTS = 32
SERVICE_MS = 20.0
KEY_COUNT = 12
KEY_INTERVAL_S = 0.1
CALLER_TIMEOUT_S = 0.03
LEADER_OUTAGE_S = 1.6
MIN_WAIT_S = 1.0
DOCUMENT = """\
service = "cue"
team = "operators"

[[requests]]
path = "/publish/*"
method = "POST"
worth = "critical"
deadline_ms = 1500
"""

_key_numbers = itertools.count(1)


@dataclass
class LeaderLossScenario:
    """Send many keyed requests around the loss of one leader."""

    system: System
    keyed_requests: list[KeyedRequest] = field(default_factory=list)
    refusals: list[tuple[float, float]] = field(default_factory=list)
    leader_lost_at: float = 0.0
    next_leader_at: float = float("inf")

    @property
    def needless_refusals(self) -> list[tuple[float, float]]:
        """Return begin and end of refusals although the next leader came in time.

        Times are in seconds after another control VM was seen to lead. Once the quorum
        has been missing for longer than QUORUM_TIMEOUT_S, requests may be refused at
        once.
        """
        lost_for = self.next_leader_at - self.leader_lost_at
        relative_times = [
            (begin - self.next_leader_at, end - self.next_leader_at)
            for begin, end in self.refusals
        ]
        return [
            (begin, end)
            for begin, end in relative_times
            if begin > -MIN_WAIT_S and end + lost_for < QUORUM_TIMEOUT_S
        ]

    async def send_keyed_request(self) -> None:
        """Send a new keyed request to all nodes, time out, and resend it."""
        keyed_request = KeyedRequest(self.system, f"lost-{next(_key_numbers)}")
        self.keyed_requests.append(keyed_request)
        with trio.move_on_after(CALLER_TIMEOUT_S):
            await keyed_request.send_to_all_nodes()
        for _ in range(2):
            async with trio.open_nursery() as nursery:
                for node in NODES:
                    nursery.start_soon(self._send, keyed_request, node)

    async def _send(self, keyed_request: KeyedRequest, node: str) -> None:
        begin = trio.current_time()
        if await keyed_request.send(node) == ErrorKind.NO_QUORUM.value:
            self.refusals.append((begin, trio.current_time()))

    async def send_keyed_requests(self) -> None:
        """Send new keyed requests at a steady rate."""
        async with trio.open_nursery() as nursery:
            for _ in range(KEY_COUNT):
                nursery.start_soon(self.send_keyed_request)
                await trio.sleep(KEY_INTERVAL_S)

    async def lose_leader(self, fault: str) -> None:
        """Stop the leader during the requests, then wait for every final outcome."""
        leader = await self.system.wait_for_leader()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.send_keyed_requests)
            await trio.sleep(KEY_INTERVAL_S)
            lost = await disrupt_leader(self.system, leader, fault, LEADER_OUTAGE_S)
            self.leader_lost_at, self.next_leader_at = lost.lost_at, lost.new_leader_at
        async with trio.open_nursery() as nursery:
            for keyed_request in self.keyed_requests:
                nursery.start_soon(keyed_request.wait_for_final_outcome)
        await self.system.wait_for_voters(CONTROL_VM_COUNT)


async def start_leader_loss_system(system: System) -> None:
    """Start three control VMs, three nodes and two backend servers of cue."""
    await system.start_controls(CONTROL_VM_COUNT)
    await system.start_nodes(NODES)
    for node in GATES:
        run_log = str(system.folder / f"{node}.runs")
        await system.start_backend(
            node, "cue", run_log=run_log, slots=SLOTS, service_ms=SERVICE_MS
        )
    await system.deploy_service("cue", DOCUMENT, len(GATES))
    for node in NODES:
        # A gate without a service time estimate waits half of the remaining time.
        await KeyedRequest(system, f"first-{node}").send(node)
