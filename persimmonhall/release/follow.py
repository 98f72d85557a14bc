"""Bring each accepted release to a node as soon as it is accepted."""

import random

import trio
from returns.result import Failure, Success

from persimmonhall.address import Address
from persimmonhall.control.messages import REPLIES, REQUESTS
from persimmonhall.events import Event, EventLog
from persimmonhall.membership.control_members import ControlMembers
from persimmonhall.release.in_force import ReleaseInForce
from persimmonhall.release.messages import WATCH_S, ReleaseSeen, WatchRelease
from persimmonhall.wire.frames import Channel
from persimmonhall.wire.link import LinkPool

ASK_TIMEOUT_S = WATCH_S + 0.5
RETRY_PAUSE_S = 0.2
# Two control VMs at a time: one that is frozen or cut off delays nothing.
WATCHES = 2


class ReleaseFollower:
    """Watch some control VMs in turn for a release newer than the one in force."""

    def __init__(
        self,
        releases: ReleaseInForce,
        control: ControlMembers,
        links: LinkPool,
        rng: random.Random,
        log: EventLog,
    ):
        self._releases = releases
        self._control = control
        self._links = links
        self._rng = rng
        self._log = log
        self._watched: set[Address] = set()
        self._silent: set[Address] = set()

    async def run(self) -> None:
        """Watch until cancelled."""
        async with trio.open_nursery() as nursery:
            for _ in range(WATCHES):
                nursery.start_soon(self._watch_forever)

    async def _watch_forever(self) -> None:
        while True:
            address = self._choose()
            if address is None:
                await trio.sleep(RETRY_PAUSE_S)
                continue
            self._watched.add(address)
            try:
                is_answered = await self._watch(address)
            finally:
                self._watched.discard(address)
            self._note(address, is_answered)
            if not is_answered:
                await trio.sleep(RETRY_PAUSE_S * (0.5 + self._rng.random()))

    def _choose(self) -> Address | None:
        free = [a for a in self._control.addresses if a not in self._watched]
        return self._rng.choice(free) if free else None

    async def _watch(self, address: Address) -> bool:
        payload = REQUESTS.encode(WatchRelease(self._releases.index))
        with trio.move_on_after(ASK_TIMEOUT_S):
            match await self._links.request(address, Channel.CONTROL, payload):
                case Success(data):
                    return self._take(data)
                case Failure():
                    return False
        self._links.reset(address)
        return False

    def _take(self, data: bytes) -> bool:
        match REPLIES.decode(data):
            case ReleaseSeen(release):
                self._releases.apply(release)
                return True
        return False

    def _note(self, address: Address, is_answered: bool) -> None:
        if is_answered and address in self._silent:
            self._silent.discard(address)
            self._log.emit(Event.CONTROL_REGAINED, control=str(address))
        elif not is_answered and address not in self._silent:
            self._silent.add(address)
            self._log.emit(Event.CONTROL_LOST, control=str(address))
