"""Stop the leader of the control VMs while keyed requests are sent."""

import itertools
from dataclasses import dataclass, field

import trio

from harness.leader_fault import lose_leader
from harness.system import System
from persimmonhall.errors import ErrorKind
from persimmonhall.once.quorum import QUORUM_TIMEOUT_S
from tests.key_trial import GATES, NODES, Trial

CONTROLS = 3
SLOTS = 32
SERVICE_MS = 20.0
KEYS = 12
KEY_INTERVAL_S = 0.1
GIVE_UP_S = 0.03
FROZEN_S = 1.6
LEAST_WAIT_S = 1.0
DOCUMENT = """\
service = "cue"
team = "operators"

[[requests]]
path = "/publish/*"
method = "POST"
worth = "critical"
deadline_ms = 1500
"""

_numbers = itertools.count(1)


@dataclass
class Loss:
    """Send many keyed requests around the loss of one leader."""

    system: System
    trials: list[Trial] = field(default_factory=list)
    refused: list[tuple[float, float]] = field(default_factory=list)
    lost_at: float = 0.0
    led_at: float = float("inf")

    @property
    def needless(self) -> list[tuple[float, float]]:
        """Return begin and end of refusals although the next leader came in time.

        Times are in seconds after another control VM was seen to lead. Once the quorum
        has been missing for longer than QUORUM_TIMEOUT_S, requests may be refused at
        once.
        """
        lost_for = self.led_at - self.lost_at
        began = [
            (begin - self.led_at, end - self.led_at) for begin, end in self.refused
        ]
        return [
            (begin, end)
            for begin, end in began
            if begin > -LEAST_WAIT_S and end + lost_for < QUORUM_TIMEOUT_S
        ]

    async def send_key(self) -> None:
        """Send a new keyed request to all nodes, time out, and resend it."""
        trial = Trial(self.system, f"lost-{next(_numbers)}")
        self.trials.append(trial)
        with trio.move_on_after(GIVE_UP_S):
            await trial.send_everywhere()
        for _ in range(2):
            async with trio.open_nursery() as nursery:
                for node in NODES:
                    nursery.start_soon(self._send, trial, node)

    async def _send(self, trial: Trial, node: str) -> None:
        begin = trio.current_time()
        if await trial.send(node) == ErrorKind.NO_QUORUM.value:
            self.refused.append((begin, trio.current_time()))

    async def send_keys(self) -> None:
        """Send new keyed requests at a steady rate."""
        async with trio.open_nursery() as nursery:
            for _ in range(KEYS):
                nursery.start_soon(self.send_key)
                await trio.sleep(KEY_INTERVAL_S)

    async def lose(self, fault: str) -> None:
        """Stop the leader during the requests, then wait for every final outcome."""
        leader = await self.system.wait_for_leader()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.send_keys)
            await trio.sleep(KEY_INTERVAL_S)
            lost = await lose_leader(self.system, leader, fault, FROZEN_S)
            self.lost_at, self.led_at = lost.lost_at, lost.led_at
        async with trio.open_nursery() as nursery:
            for trial in self.trials:
                nursery.start_soon(trial.settle)
        await self.system.wait_for_voters(CONTROLS)


async def start(system: System) -> None:
    """Start three control VMs, three nodes and two backend servers of cue."""
    await system.start_controls(CONTROLS)
    await system.start_nodes(NODES)
    for node in GATES:
        run_log = str(system.folder / f"{node}.runs")
        await system.start_backend(
            node, "cue", run_log=run_log, slots=SLOTS, service_ms=SERVICE_MS
        )
    await system.serve("cue", DOCUMENT, len(GATES))
    for node in NODES:
        # A gate without a service time estimate waits half of the remaining time.
        await Trial(system, f"first-{node}").send(node)
