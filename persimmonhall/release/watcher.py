"""Fetch each release from the control VMs as soon as it is accepted."""

import random

import trio
from absl import logging
from returns.result import Failure, Success

from persimmonhall.address import Address
from persimmonhall.control.messages import REPLIES, REQUESTS
from persimmonhall.events import Event, EventLog
from persimmonhall.guards import call_guarded
from persimmonhall.membership.control_members import ControlMembers
from persimmonhall.release.active import ActiveRelease
from persimmonhall.release.messages import WATCH_TIMEOUT_S, ReleaseSeen, WatchRelease
from persimmonhall.wire.frames import Channel
from persimmonhall.wire.link import LinkPool

REQUEST_TIMEOUT_S = WATCH_TIMEOUT_S + 0.5
RETRY_DELAY_S = 0.2
# With two control VMs at a time, one that is paused or cut off delays no release.
CONCURRENT_WATCHES = 2


class ReleaseWatcher:
    """Watch random control VMs for a release newer than the active one."""

    def __init__(
        self,
        releases: ActiveRelease,
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
        self._unresponsive: set[Address] = set()

    async def run(self) -> None:
        """Watch control VMs until cancelled."""
        async with trio.open_nursery() as nursery:
            for _ in range(CONCURRENT_WATCHES):
                nursery.start_soon(self._watch_forever)

    async def _watch_forever(self) -> None:
        while True:
            address = self._choose_control_vm()
            if address is None:
                await trio.sleep(RETRY_DELAY_S)
                continue
            self._watched.add(address)
            try:
                is_answered = await self._watch_once(address)
            finally:
                self._watched.discard(address)
            self._log_connectivity_change(address, is_answered)
            if not is_answered:
                await trio.sleep(RETRY_DELAY_S * (0.5 + self._rng.random()))

    def _choose_control_vm(self) -> Address | None:
        unwatched = [a for a in self._control.addresses if a not in self._watched]
        return self._rng.choice(unwatched) if unwatched else None

    async def _watch_once(self, address: Address) -> bool:
        payload = REQUESTS.encode(WatchRelease(self._releases.index))
        with trio.move_on_after(REQUEST_TIMEOUT_S):
            match await self._links.request(address, Channel.CONTROL, payload):
                case Success(data):
                    return self._handle_reply(address, data)
                case Failure():
                    return False
        self._links.reset(address)
        return False

    def _handle_reply(self, address: Address, data: bytes) -> bool:
        try:
            reply = REPLIES.decode(data)
        except ValueError as error:
            logging.warning("reply of control VM %s not readable: %s", address, error)
            return False
        match reply:
            case ReleaseSeen(release):
                call_guarded(self._releases.apply, release)
                return True
        return False

    def _log_connectivity_change(self, address: Address, is_answered: bool) -> None:
        if is_answered and address in self._unresponsive:
            self._unresponsive.discard(address)
            self._log.emit(Event.CONTROL_REGAINED, control=str(address))
        elif not is_answered and address not in self._unresponsive:
            self._unresponsive.add(address)
            self._log.emit(Event.CONTROL_LOST, control=str(address))
