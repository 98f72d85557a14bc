"""Define the commands and replies that concern releases."""

from dataclasses import dataclass
from enum import Enum

from persimmonhall.ids import LogIndex, ReleaseDigest, ReleaseVersion

# A control VM answers a watch after this time at the latest. A node then watches
# another VM, so that a VM cut off from new releases delays it well below the 2 s
# within which a release must be active.
WATCH_TIMEOUT_S = 1.0


@dataclass(frozen=True)
class PutRelease:
    """Replace the release whose version is `base`; the text is stored as sent."""

    digest: ReleaseDigest
    version: ReleaseVersion
    base: ReleaseVersion
    text: bytes


class ReleaseOutcome(Enum):
    """List the possible outcomes of putting a release."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    NOT_NEWER = "notNewer"


@dataclass(frozen=True)
class PutReleaseReply:
    """Answer with the version that is active after the command."""

    outcome: ReleaseOutcome
    current: ReleaseVersion


@dataclass(frozen=True)
class HeldRelease:
    """Represent an accepted release; releases are ordered by log index."""

    index: LogIndex
    version: ReleaseVersion
    text: bytes


@dataclass(frozen=True)
class ReleaseState:
    """Represent rows of the release table in a snapshot."""

    current: HeldRelease
    accepted: tuple[ReleaseDigest, ...]


@dataclass(frozen=True)
class WatchRelease:
    """Request the next release after an index, as soon as there is one.

    A notice has only the index and version of the release.
    """

    after: LogIndex
    is_notice: bool = False


@dataclass(frozen=True)
class ConfirmRelease:
    """Request the index of the newest release accepted before the request."""


@dataclass(frozen=True)
class ReleaseConfirmed:
    """Answer with the index of a release; every newer one was accepted later."""

    index: LogIndex


@dataclass(frozen=True)
class ReleaseSeen:
    """Answer a watch; the text is empty in a notice or without a newer release."""

    release: HeldRelease
