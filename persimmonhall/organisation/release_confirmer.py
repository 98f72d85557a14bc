"""Ask control VMs every second to confirm that the active release is the newest."""

import math
import random

import trio

from persimmonhall.events import Event, EventLog
from persimmonhall.membership.control_caller import ControlCaller
from persimmonhall.organisation.release_proof import ProofState, ReleaseProof
from persimmonhall.release.active import ActiveRelease
from persimmonhall.release.messages import ConfirmRelease, ReleaseConfirmed
from persimmonhall.release.watch_messages import WATCH_REPLIES, WATCHES
from persimmonhall.release.watcher import ReleaseWatcher

CONFIRM_INTERVAL_S = 1.0
RETRY_DELAY_S = 0.1
EVENTS = {
    ProofState.HELD: Event.RELEASE_PROOF_HELD,
    ProofState.SHORT: Event.RELEASE_PROOF_SHORT,
    ProofState.LOST: Event.RELEASE_PROOF_LOST,
}


class ReleaseConfirmer:
    """Keep the proof of the active release while it has organisations."""

    def __init__(
        self,
        proof: ReleaseProof,
        releases: ActiveRelease,
        caller: ControlCaller,
        watcher: ReleaseWatcher,
        rng: random.Random,
        log: EventLog,
    ):
        self._proof = proof
        self._releases = releases
        self._caller = caller
        self._watcher = watcher
        self._rng = rng
        self._log = log
        self._state = ProofState.LOST

    @property
    def is_needed(self) -> bool:
        """Return whether the active release has keys that may be withdrawn."""
        routes = self._releases.routes
        has_keys = routes is not None and bool(routes.release.organisations)
        return has_keys and self._proof.is_needed

    @property
    def remaining_s(self) -> float:
        """Return for how long keys may be served without another confirmation."""
        if not self.is_needed:
            return math.inf
        return self._proof.remaining_s(self._releases.index)

    async def run(self) -> None:
        """Ask until cancelled; spread the questions of the nodes over a second."""
        async with trio.open_nursery() as nursery:
            while True:
                if not self.is_needed:
                    await trio.sleep(RETRY_DELAY_S)
                    continue
                started_at = trio.current_time()
                is_confirmed = await self._confirm(nursery)
                spread = 1 + 0.1 * (self._rng.random() - 0.5)
                interval_s = CONFIRM_INTERVAL_S if is_confirmed else RETRY_DELAY_S
                left_s = started_at + interval_s * spread - trio.current_time()
                await trio.sleep(max(RETRY_DELAY_S, left_s))

    def step(self) -> None:
        """Log when the proof runs short, is lost and is held again."""
        if not self.is_needed:
            return
        index = self._releases.index
        state = self._proof.state(index)
        if state is self._state:
            return
        self._state = state
        remaining_s = round(self._proof.remaining_s(index), 2)
        self._log.emit(EVENTS[state], release=index, remaining_s=remaining_s)

    async def _confirm(self, node_nursery: trio.Nursery) -> bool:
        """Ask the control VMs; return whether one confirmed."""
        answer = await self._caller.ask(
            WATCHES.encode(ConfirmRelease()), WATCH_REPLIES, ReleaseConfirmed
        )
        if answer is None:
            return False
        index = answer.reply.index
        self._proof.confirm(answer.asked_at, index)
        if index > self._releases.index:
            node_nursery.start_soon(self._watcher.fetch, answer.address, index)
        return True
