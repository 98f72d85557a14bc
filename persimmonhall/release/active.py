"""Store the active release of a node."""

import random
from collections.abc import Callable

from returns.result import Failure, Result, Success

from persimmonhall.events import Event, EventLog
from persimmonhall.guards import call_guarded
from persimmonhall.ids import LogIndex
from persimmonhall.release.messages import HeldRelease
from persimmonhall.release.routes import RouteTable
from persimmonhall.release.schema import Release

ReleaseDecoder = Callable[[bytes], Result[Release, str]]


class ActiveRelease:
    """Apply releases atomically and ignore any that is not newer."""

    def __init__(
        self,
        decode: ReleaseDecoder,
        log: EventLog,
        rng: random.Random,
        on_applied: Callable[[RouteTable], None] = lambda routes: None,
    ):
        self._decode = decode
        self._on_applied = on_applied
        self._rng = rng
        self._log = log
        self._routes: RouteTable | None = None
        self._index = LogIndex(0)

    @property
    def routes(self) -> RouteTable | None:
        """Return the active routes, or None before the first release."""
        return self._routes

    @property
    def index(self) -> LogIndex:
        """Return the log index of the active release, 0 before the first."""
        return self._index

    def apply(self, held: HeldRelease) -> bool:
        """Activate a release unless it is unreadable or not newer."""
        if held.index <= self._index or not held.text:
            return False
        match self._decode(held.text):
            case Failure(reason):
                # A control VM validated it, so this program is older than the release.
                self._log.emit(
                    Event.RELEASE_UNREADABLE, index=held.index, reason=reason
                )
                return False
            case Success(release):
                self._routes = RouteTable(release, self._rng, self._routes)
        self._index = held.index
        call_guarded(self._on_applied, self._routes)
        self._log.emit(
            Event.RELEASE_IN_FORCE,
            index=held.index,
            version=held.version,
            routes=len(release.routes),
            public_routes=sum(route.is_public for route in release.routes),
            organisations=len(release.organisations),
            ranks=self._routes.rank_count,
        )
        return True
