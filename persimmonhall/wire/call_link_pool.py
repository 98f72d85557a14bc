"""Keep the links to all peers that calls are sent to."""

from collections.abc import Callable

from persimmonhall.address import Address
from persimmonhall.errors import Ran
from persimmonhall.event_time import current_time
from persimmonhall.events import Event, EventLog
from persimmonhall.ids import CallNumber
from persimmonhall.timers import Timers
from persimmonhall.wire.call_frames import RoutedCall
from persimmonhall.wire.call_link import CHECK_INTERVAL_S, CallLink, ReplyHandler
from persimmonhall.wire.poller import Poller
from persimmonhall.wire.transfer_budget import TransferBudget

RECONNECT_DELAY_S = 0.25


class CallLinkPool:
    """Keep one link per peer and reopen it after a failure."""

    def __init__(
        self,
        reply_handler: ReplyHandler,
        poller: Poller,
        timers: Timers,
        log: EventLog,
        may_send: Callable[[CallNumber], bool] = lambda number: True,
        budget: TransferBudget | None = None,
    ):
        self._reply_handler = reply_handler
        self._may_send = may_send
        self._budget = budget or TransferBudget()
        self._timers = timers
        self._poller = poller
        self._log = log
        self._links: dict[Address, CallLink] = {}
        self._connect_failed_at: dict[Address, float] = {}
        self._lost_peers: set[Address] = set()
        self._last_step_at = 0.0

    def send(self, address: Address, call: RoutedCall) -> None:
        """Send a call; the reply handler gets its reply or failure."""
        link = self._links.get(address)
        if link is None or link.is_closed:
            now = current_time()
            if link is not None:
                self._remove(link, now)
            if (
                now - self._connect_failed_at.get(address, -RECONNECT_DELAY_S)
                < RECONNECT_DELAY_S
            ):
                detail = f"a recent connection attempt to {address} failed"
                self._reply_handler.handle_link_failure(call.number, Ran.NO, detail)
                return
            link = self._links[address] = CallLink(
                address, self._reply_handler, self._log, self._may_send, self._budget
            )
            link.connect(
                self._poller, self._timers, lambda: self._log_reconnected(address)
            )
        link.send(call)

    def cancel(self, address: Address, number: CallNumber) -> bool:
        """Cancel a call; return whether no byte of it was sent."""
        link = self._links.get(address)
        return link is not None and not link.is_closed and link.cancel(number)

    def _log_reconnected(self, address: Address) -> None:
        if address in self._lost_peers:
            self._lost_peers.discard(address)
            self._log.emit(Event.LINK_REGAINED, peer=str(address))

    def _remove(self, link: CallLink, now: float) -> None:
        if self._links.get(link.address) is not link:
            # Retried calls of another lost link have already opened a new link here.
            return
        del self._links[link.address]
        self._lost_peers.add(link.address)
        if not link.is_connected:
            self._connect_failed_at[link.address] = now

    def step(self, now: float) -> None:
        """Check for peers that stopped responding; call every CHECK_INTERVAL_S."""
        # After a pause of this process, data received meanwhile is still unread.
        was_paused = now - self._last_step_at > 2 * CHECK_INTERVAL_S
        self._last_step_at = now
        for link in tuple(self._links.values()):
            if link.is_closed:
                self._remove(link, now)
            elif was_paused:
                link.restart_silence_timeout(now)
            else:
                link.check(now)
