"""Hold the keys of the active release of a node."""

from persimmonhall.ids import LogIndex
from persimmonhall.organisation.keyring import Keyring
from persimmonhall.release.active import ActiveRelease


class ActiveKeys:
    """Hold the keys of the active release."""

    def __init__(self, releases: ActiveRelease):
        self._releases = releases
        self._keyring = Keyring()
        self._index = LogIndex(0)

    @property
    def keyring(self) -> Keyring:
        """Return the keys of the active release; empty if it has no organisations."""
        if self._releases.index != self._index:
            self._index = self._releases.index
            self._keyring = Keyring(self._releases.routes.release.organisations)
        return self._keyring

    @property
    def are_required(self) -> bool:
        """Return whether the active release has organisations."""
        routes = self._releases.routes
        return routes is not None and bool(routes.release.organisations)
