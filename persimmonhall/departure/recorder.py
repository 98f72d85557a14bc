"""Record departures on control VMs and learn those from before this process."""

from collections.abc import Callable

import trio

from persimmonhall.departure.codecs import DEPARTURE_REPLIES, DEPARTURE_REQUESTS
from persimmonhall.departure.messages import (
    DepartureRecorded,
    Departures,
    ListDepartures,
    RecordDeparture,
    RecordedDeparture,
)
from persimmonhall.events import Event, EventLog
from persimmonhall.guards import call_guarded
from persimmonhall.ids import InstanceId, NodeName
from persimmonhall.membership.control_caller import ControlCaller

RETRY_DELAY_S = 0.1
# Only the last instances can still have a report under way.
MAX_DEPARTURES = 100

DepartureListener = Callable[[RecordedDeparture], None]


class DepartureRecorder:
    """Keep what is acknowledged about instances beyond the loss of all processes.

    A node has no disk and its peers may be lost with it, so a departure is acknowledged
    only once the control VMs have recorded it. A late report can't be told from a true
    one, so a new process asks them for the departures of its node first.
    """

    def __init__(self, node: NodeName, caller: ControlCaller, log: EventLog):
        self._node = node
        self._caller = caller
        self._log = log
        self._pending: dict[InstanceId, RecordedDeparture] = {}
        self._recorded: dict[InstanceId, RecordedDeparture] = {}
        self._has_pending = trio.Event()
        self._progress = trio.Event()
        self._is_restored = False
        self._on_departure: DepartureListener = lambda departure: None
        self._on_restored: Callable[[], None] = lambda: None

    @property
    def is_restored(self) -> bool:
        """Return whether the departures from before this process are known."""
        return self._is_restored

    def set_listener(
        self, on_departure: DepartureListener, on_restored: Callable[[], None]
    ) -> None:
        """Set what to call for each earlier departure and once all are known."""
        self._on_departure = on_departure
        self._on_restored = on_restored

    def is_recorded(self, departure: RecordedDeparture) -> bool:
        """Return whether the control VMs have this departure or a later one."""
        recorded = self._recorded.get(departure.instance)
        return recorded is not None and recorded.order >= departure.order

    def record(self, departure: RecordedDeparture) -> None:
        """Send a departure to the control VMs until it is recorded."""
        pending = self._pending.get(departure.instance, departure)
        if self.is_recorded(departure) or pending.order > departure.order:
            return
        _put_newest(self._pending, departure)
        self._has_pending.set()

    async def wait_until_recorded(self, departure: RecordedDeparture) -> None:
        """Wait until the control VMs have a departure."""
        while not self.is_recorded(departure):
            await self._progress.wait()

    def log_unconfirmed(self, departure: RecordedDeparture) -> None:
        """Log that a departure could not be acknowledged in time."""
        self._log.emit(Event.DEPARTURE_UNCONFIRMED, instance=departure.instance)

    async def run(self) -> None:
        """Learn the earlier departures and record new ones until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._restore)
            await self._record_forever()

    async def _restore(self) -> None:
        payload = DEPARTURE_REQUESTS.encode(ListDepartures(self._node))
        started_at = trio.current_time()
        while True:
            answer = await self._caller.ask(payload, DEPARTURE_REPLIES, Departures)
            if answer is not None:
                break
            await trio.sleep(RETRY_DELAY_S)
        for departure in answer.reply.items:
            self._add_recorded(departure)
            call_guarded(self._on_departure, departure)
        self._is_restored = True
        self._log.emit(
            Event.DEPARTURES_RESTORED,
            departures=len(answer.reply.items),
            waited_ms=round((trio.current_time() - started_at) * 1000),
        )
        call_guarded(self._on_restored)

    async def _record_forever(self) -> None:
        while True:
            while not self._pending:
                self._has_pending = trio.Event()
                await self._has_pending.wait()
            # The newest one first: its server still waits for the answer.
            departure = next(reversed(self._pending.values()))
            payload = DEPARTURE_REQUESTS.encode(RecordDeparture(self._node, departure))
            answer = await self._caller.ask(
                payload, DEPARTURE_REPLIES, DepartureRecorded
            )
            if answer is None:
                await trio.sleep(RETRY_DELAY_S)
                continue
            if self._pending.get(departure.instance) == departure:
                del self._pending[departure.instance]
            self._add_recorded(departure)
            self._progress.set()
            self._progress = trio.Event()

    def _add_recorded(self, departure: RecordedDeparture) -> None:
        if not self.is_recorded(departure):
            _put_newest(self._recorded, departure)


def _put_newest(
    departures: dict[InstanceId, RecordedDeparture], departure: RecordedDeparture
) -> None:
    """Put a departure last and drop the oldest one beyond the bound."""
    departures.pop(departure.instance, None)
    departures[departure.instance] = departure
    if len(departures) > MAX_DEPARTURES:
        del departures[next(iter(departures))]
