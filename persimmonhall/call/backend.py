"""Hold the one backend server behind a gate."""

from dataclasses import dataclass
from enum import Enum

from persimmonhall.address import Address
from persimmonhall.ids import ServiceName


class BackendState(Enum):
    """Tell whether a backend server takes new requests."""

    ABSENT = "absent"
    READY = "ready"
    LEAVING = "leaving"


@dataclass(frozen=True)
class Backend:
    """Describe a backend server as it announced itself."""

    service: ServiceName
    address: Address
    slots: int
    connections: int
    state: BackendState = BackendState.READY
