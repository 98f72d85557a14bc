"""Define the commands and replies that concern releases."""

from dataclasses import dataclass
from enum import Enum

from persimmonhall.ids import LogIndex, ReleaseDigest, ReleaseVersion

# A control VM holds a watch this long; turning to another one then leaves a VM that
# a cut keeps old, well within the 2 s in which a release must be in force.
WATCH_S = 1.0


@dataclass(frozen=True)
class PutRelease:
    """Replace the release whose version is the base; the text is kept as sent."""

    digest: ReleaseDigest
    version: ReleaseVersion
    base: ReleaseVersion
    text: bytes


class ReleaseOutcome(Enum):
    """Tell what became of a release that was put."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    NOT_NEWER = "notNewer"


@dataclass(frozen=True)
class PutReleaseReply:
    """Answer with the version in force after the command."""

    outcome: ReleaseOutcome
    current: ReleaseVersion


@dataclass(frozen=True)
class HeldRelease:
    """Hold an accepted release; the index of its command orders releases."""

    index: LogIndex
    version: ReleaseVersion
    text: bytes


@dataclass(frozen=True)
class ReleaseState:
    """Hold some rows of the release table for a snapshot."""

    current: HeldRelease
    accepted: tuple[ReleaseDigest, ...]


@dataclass(frozen=True)
class WatchRelease:
    """Ask for the release after an index, as soon as there is one."""

    after: LogIndex


@dataclass(frozen=True)
class ReleaseSeen:
    """Answer a watch; the text is empty if there was nothing newer."""

    release: HeldRelease
