"""Define what counts are about and the limits that they lead to."""

from dataclasses import dataclass
from typing import NewType

import xxhash

from persimmonhall.release.schema import Organisation

# Hash of the name: reports carry it in place of the name.
SubjectId = NewType("SubjectId", int)


def subject_of(name: str) -> SubjectId:
    """Return the id of a name."""
    return SubjectId(xxhash.xxh32_intdigest(name.encode()))


@dataclass(frozen=True, slots=True)
class Quota:
    """Define the requests that an organisation may run; a rate of 0 is unlimited."""

    rate_per_s: float
    burst: float


@dataclass(frozen=True, slots=True)
class QuotaBounds:
    """Define by how much the sum of all nodes may exceed a quota in any window."""

    window_s: float
    overshoot: float
    slack: float


@dataclass(frozen=True, slots=True)
class Limit:
    """Tell a node how to treat one subject.

    `fraction` is the part of the requests to admit under the quota, `share` the weight
    of the subject where a level refuses part of a rank, `wait_s` the time until the
    quota has room again.
    """

    fraction: float = 1.0
    share: float = 1.0
    wait_s: float = 0.0


UNLIMITED = Limit()


def quotas_of(organisations: tuple[Organisation, ...]) -> dict[SubjectId, Quota]:
    """Return the quotas of a release."""
    return {
        subject_of(item.name): Quota(item.rate_per_s, item.burst)
        for item in organisations
    }
