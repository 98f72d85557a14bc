"""Fetch each release from the control VMs as soon as it is accepted."""

import math
import random
from enum import Enum

import trio
from absl import logging
from returns.result import Success

from persimmonhall.address import Address
from persimmonhall.events import Event, EventLog
from persimmonhall.guards import call_guarded
from persimmonhall.ids import LogIndex, ZoneName
from persimmonhall.membership.control_members import ControlMembers
from persimmonhall.release.active import ActiveRelease
from persimmonhall.release.messages import (
    WATCH_TIMEOUT_S,
    HeldRelease,
    ReleaseSeen,
    WatchRelease,
)
from persimmonhall.release.watch_messages import WATCH_REPLIES, WATCHES
from persimmonhall.wire.frames import Channel
from persimmonhall.wire.link import LinkPool

REQUEST_TIMEOUT_S = WATCH_TIMEOUT_S + 0.5
RETRY_DELAY_S = 0.2
TRIAL_INTERVAL_S = 1.0
# Time that the release itself has to arrive after the notice of another control VM.
FETCH_DELAY_S = 0.2


class ControlVmState(Enum):
    """Define what the last watches of a control VM have shown."""

    SOUND = "sound"
    # It has not answered.
    SILENT = "silent"
    # It answers, but has no release that another one has had for some time.
    BEHIND = "behind"


class ReleaseWatcher:
    """Watch control VMs for a release newer than the active one.

    One VM, in the own zone if it has any, sends the release. Another one, in any zone,
    only tells its index, so that a VM that is paused or cut off delays no release; the
    release is fetched from that one if it has not come by then. VMs that are silent or
    behind are watched only if there is no other; a trial tells when they are sound.
    """

    def __init__(
        self,
        releases: ActiveRelease,
        control: ControlMembers,
        zone: ZoneName,
        links: LinkPool,
        rng: random.Random,
        log: EventLog,
    ):
        self._releases = releases
        self._control = control
        self._zone = zone
        self._links = links
        self._rng = rng
        self._log = log
        self._watched: set[Address] = set()
        self._impaired: dict[Address, ControlVmState] = {}
        self._changed_at = -math.inf
        # Passed over for one watch, so that it isn't fetched again without a pause.
        self._unreadable_index = LogIndex(0)

    async def run(self) -> None:
        """Watch control VMs until cancelled."""
        async with trio.open_nursery() as nursery:
            for is_notice in (False, True):
                nursery.start_soon(self._watch_forever, is_notice)
            nursery.start_soon(self._try_impaired_forever)

    async def fetch(self, address: Address, index: LogIndex) -> None:
        """Fetch a release that a control VM has told of, unless it comes meanwhile."""
        await trio.sleep(FETCH_DELAY_S)
        if index > self._releases.index:
            await self._watch_once(address, is_notice=False)

    async def _watch_forever(self, is_notice: bool) -> None:
        while True:
            address = self._choose_control_vm(is_notice)
            if address is None:
                await trio.sleep(RETRY_DELAY_S)
                continue
            self._watched.add(address)
            try:
                state = await self._watch_once(address, is_notice)
            finally:
                self._watched.discard(address)
            self._set_state(address, state)
            if state is ControlVmState.SILENT:
                await trio.sleep(RETRY_DELAY_S * (0.5 + self._rng.random()))

    async def _try_impaired_forever(self) -> None:
        """Find out which of the silent control VMs and of those behind are sound."""
        while True:
            await trio.sleep(TRIAL_INTERVAL_S)
            known = self._control.addresses
            self._impaired = {a: s for a, s in self._impaired.items() if a in known}
            addresses = [a for a in self._impaired if a not in self._watched]
            if addresses:
                address = self._rng.choice(addresses)
                self._set_state(address, await self._try(address))

    async def _try(self, address: Address) -> ControlVmState:
        """Ask for the active release itself, which a VM that is behind hasn't."""
        index = self._releases.index
        match await self._request(address, LogIndex(max(0, index - 1)), True):
            case ReleaseSeen(release) if release.index >= index:
                return ControlVmState.SOUND
            case ReleaseSeen():
                return ControlVmState.BEHIND
        return ControlVmState.SILENT

    def _choose_control_vm(self, is_notice: bool) -> Address | None:
        unwatched = [a for a in self._control.addresses if a not in self._watched]
        choice = [a for a in unwatched if a not in self._impaired] or unwatched
        if not is_notice:
            nearby = self._control.addresses_in(self._zone)
            choice = [a for a in choice if a in nearby] or choice
        return self._rng.choice(choice) if choice else None

    async def _watch_once(self, address: Address, is_notice: bool) -> ControlVmState:
        after = max(self._releases.index, self._unreadable_index)
        match await self._request(address, after, is_notice):
            case ReleaseSeen(release) if release.text:
                self._apply(release)
            case ReleaseSeen(release) if release.index > self._releases.index:
                await trio.sleep(FETCH_DELAY_S)
                if release.index > self._releases.index:
                    return await self._watch_once(address, is_notice=False)
            case ReleaseSeen():
                self._unreadable_index = LogIndex(0)
                had_s = trio.current_time() - self._changed_at
                is_late = self._releases.index > after and had_s > FETCH_DELAY_S
                # That there is nothing newer doesn't show that it has caught up.
                if is_late or self._impaired.get(address) is ControlVmState.BEHIND:
                    return ControlVmState.BEHIND
            case _:
                return ControlVmState.SILENT
        return ControlVmState.SOUND

    def _apply(self, release: HeldRelease) -> None:
        before = self._releases.index
        call_guarded(self._releases.apply, release)
        if self._releases.index > before:
            self._changed_at = trio.current_time()
        elif release.index > before:
            self._unreadable_index = release.index

    async def _request(
        self, address: Address, after: LogIndex, is_notice: bool
    ) -> object | None:
        """Send one watch; return the reply, or None without one."""
        payload = WATCHES.encode(WatchRelease(after, is_notice))
        result = None
        with trio.move_on_after(REQUEST_TIMEOUT_S):
            result = await self._links.request(address, Channel.CONTROL, payload)
        match result:
            case Success(data):
                try:
                    return WATCH_REPLIES.decode(data)
                except ValueError as error:
                    text = "reply of control VM %s not readable: %s"
                    logging.warning(text, address, error)
            case None:
                self._links.reset(address)
        return None

    def _set_state(self, address: Address, state: ControlVmState) -> None:
        before = self._impaired.get(address, ControlVmState.SOUND)
        if state is before:
            return
        if state is ControlVmState.SOUND:
            del self._impaired[address]
            self._log.emit(Event.CONTROL_REGAINED, control=str(address))
        else:
            self._impaired[address] = state
            self._log.emit(Event.CONTROL_LOST, control=str(address), reason=state.value)
