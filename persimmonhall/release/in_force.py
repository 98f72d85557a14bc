"""Hold the release in force on a node."""

import random
from collections.abc import Callable

from returns.result import Failure, Result, Success

from persimmonhall.events import Event, EventLog
from persimmonhall.ids import LogIndex
from persimmonhall.release.messages import HeldRelease
from persimmonhall.release.routes import RouteTable
from persimmonhall.release.schema import Release

ReleaseDecoder = Callable[[bytes], Result[Release, str]]


class ReleaseInForce:
    """Apply a release whole, and never one that is older than the last."""

    def __init__(self, decode: ReleaseDecoder, log: EventLog, rng: random.Random):
        self._decode = decode
        self._rng = rng
        self._log = log
        self._routes: RouteTable | None = None
        self._index = LogIndex(0)

    @property
    def routes(self) -> RouteTable | None:
        """Return the routes in force, or None before the first release."""
        return self._routes

    @property
    def index(self) -> LogIndex:
        """Return the log index of the release in force, 0 before the first."""
        return self._index

    def apply(self, held: HeldRelease) -> bool:
        """Put a release in force unless it is not newer or cannot be read."""
        if held.index <= self._index or not held.text:
            return False
        match self._decode(held.text):
            case Failure(reason):
                # A control VM checked it: this program is older than the release.
                self._log.emit(
                    Event.RELEASE_UNREADABLE, index=held.index, reason=reason
                )
                return False
            case Success(release):
                self._routes = RouteTable(release, self._rng, self._routes)
        self._index = held.index
        self._log.emit(
            Event.RELEASE_IN_FORCE,
            index=held.index,
            version=held.version,
            routes=len(release.routes),
        )
        return True
