"""Lose the leader of control while keyed requests are sent."""

import itertools
from dataclasses import dataclass, field

import trio

from harness.leader_fault import disrupt_leader
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
    """Send many keys around one lost leader."""

    system: System
    trials: list[Trial] = field(default_factory=list)
    refused: list[tuple[float, float]] = field(default_factory=list)
    lost_at: float = 0.0
    led_at: float = float("inf")

    @property
    def needless(self) -> list[tuple[float, float]]:
        """Return begin and end of refusals for which the next leader came in time.

        Times in seconds after another control VM was seen to lead. A quorum that
        is missing for longer than the patience may be refused at once.
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
        """Send a new key everywhere, leave before the answers, send it again."""
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
        """Send keys, new ones at a steady rate."""
        async with trio.open_nursery() as nursery:
            for _ in range(KEYS):
                nursery.start_soon(self.send_key)
                await trio.sleep(KEY_INTERVAL_S)

    async def lose(self, fault: str) -> None:
        """Lose the leader while keys are sent, and settle every key."""
        leader = await self.system.wait_for_leader()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.send_keys)
            await trio.sleep(KEY_INTERVAL_S)
            lost = await disrupt_leader(self.system, leader, fault, FROZEN_S)
            self.lost_at, self.led_at = lost.lost_at, lost.new_leader_at
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
    await system.deploy_service("cue", DOCUMENT, len(GATES))
    for node in NODES:
        # A gate that does not know the service time waits half of the time left.
        await Trial(system, f"first-{node}").send(node)
