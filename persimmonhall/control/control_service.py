"""Handle the requests of nodes."""

from dataclasses import replace

import trio
from returns.result import Failure, Success

from persimmonhall.control.messages import (
    COMMAND_REPLIES,
    COMMANDS,
    REPLIES,
    REQUESTS,
    Declined,
    Documents,
    FetchDocuments,
    Submit,
    Submitted,
)
from persimmonhall.control.replica import Replica
from persimmonhall.control.shared_barrier import SharedBarrier
from persimmonhall.departure.messages import (
    DepartureRecorded,
    Departures,
    ListDepartures,
    RecordDeparture,
)
from persimmonhall.errors import ErrorKind, refuse
from persimmonhall.release.messages import (
    WATCH_TIMEOUT_S,
    ConfirmRelease,
    ReleaseConfirmed,
    ReleaseSeen,
    WatchRelease,
)
from persimmonhall.release.table import NO_RELEASE

DRAIN_TIMEOUT_S = 3.0
CHECK_INTERVAL_S = 0.1
# Most elections take less.
STALE_AFTER_S = 0.5


class ControlService:
    """Handle the requests of nodes with a replica."""

    def __init__(self, replica: Replica):
        self._replica = replica
        self._in_flight = 0
        self._idle = trio.Event()
        self._release_changed = trio.Event()
        self._current_at = trio.current_time()
        self._is_stale = False
        self._barrier = SharedBarrier(replica)

    async def run(self) -> None:
        """Wake release watches and run the shared barrier until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._barrier.run)
            nursery.start_soon(self._wake_watches)

    async def _wake_watches(self) -> None:
        while True:
            index = self._replica.machine.releases.current.index
            was_stale = self._is_stale
            while (
                self._replica.machine.releases.current.index == index
                and self._is_stale == was_stale
            ):
                with trio.move_on_after(CHECK_INTERVAL_S):
                    await self._replica.driver.changed.wait()
                self._update_staleness(trio.current_time())
            self._release_changed.set()
            self._release_changed = trio.Event()

    def _update_staleness(self, now: float) -> None:
        if self._replica.is_current:
            self._current_at = now
        self._is_stale = now - self._current_at > STALE_AFTER_S

    async def drain(self) -> None:
        """Wait for requests in flight, except watches, before a graceful shutdown."""
        with trio.move_on_after(DRAIN_TIMEOUT_S):
            while self._in_flight:
                await self._idle.wait()

    async def handle(self, payload: bytes) -> bytes:
        """Handle one request."""
        request = REQUESTS.decode(payload)
        if isinstance(request, WatchRelease):
            # A watch lasts for seconds, and its node makes it again elsewhere.
            return REPLIES.encode(await self._watch_release(request))
        if isinstance(request, ConfirmRelease):
            return REPLIES.encode(await self._confirm_release())
        if isinstance(request, ListDepartures):
            return REPLIES.encode(await self._list_departures(request))
        self._in_flight += 1
        try:
            return await self._answer(request)
        finally:
            self._in_flight -= 1
            if not self._in_flight:
                self._idle.set()
                self._idle = trio.Event()

    async def _answer(
        self, request: FetchDocuments | Submit | RecordDeparture
    ) -> bytes:
        match request:
            case FetchDocuments(after):
                return REPLIES.encode(self._documents(after))
            case Submit(command):
                return REPLIES.encode(await self._submit(command))
            case RecordDeparture():
                return REPLIES.encode(await self._record_departure(request))

    async def _watch_release(self, watch: WatchRelease) -> ReleaseSeen | Declined:
        """Wait a limited time for a release after an index.

        A replica that may have missed a release declines, so that the node watches
        another one at once.
        """
        after = watch.after
        with trio.move_on_after(WATCH_TIMEOUT_S):
            while not (
                self._replica.machine.releases.current.index > after or self._is_stale
            ):
                await self._release_changed.wait()
        current = self._replica.machine.releases.current
        if current.index <= after:
            return _stale() if self._is_stale else ReleaseSeen(NO_RELEASE)
        return ReleaseSeen(replace(current, text=b"") if watch.is_notice else current)

    async def _confirm_release(self) -> ReleaseConfirmed | Declined:
        match await self._barrier.wait():
            case Success():
                return ReleaseConfirmed(self._replica.machine.releases.current.index)
            case Failure(refusal):
                return Declined(refusal.kind, refusal.detail, refusal.ran)

    async def _list_departures(self, request: ListDepartures) -> Departures | Declined:
        """Return all departures of a node that were acknowledged before the request."""
        match await self._barrier.wait():
            case Success():
                departures = self._replica.machine.departures
                return Departures(departures.departures_of(request.node))
            case Failure(refusal):
                return Declined(refusal.kind, refusal.detail, refusal.ran)

    async def _record_departure(
        self, command: RecordDeparture
    ) -> DepartureRecorded | Declined:
        if self._is_stale:
            # The node asks another control VM at once.
            return _stale()
        match await self._replica.submit(command):
            case Success():
                return DepartureRecorded()
            case Failure(refusal):
                return Declined(refusal.kind, refusal.detail, refusal.ran)

    def _documents(self, after) -> Documents:
        machine = self._replica.machine
        held = machine.documents.accepted_after(after)
        return Documents(machine.index, held, self._replica.is_current)

    async def _submit(self, command: bytes) -> Submitted | Declined:
        match await self._replica.submit(COMMANDS.decode(command)):
            case Success(reply):
                return Submitted(COMMAND_REPLIES.encode(reply))
            case Failure(refusal):
                return Declined(refusal.kind, refusal.detail, refusal.ran)


def _stale() -> Declined:
    detail = "this replica has no leader or is not caught up"
    refusal = refuse(ErrorKind.NO_QUORUM, detail)
    return Declined(refusal.kind, refusal.detail, refusal.ran)
