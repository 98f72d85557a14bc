"""Describe the backend server behind a gate."""

from dataclasses import dataclass
from enum import Enum

from persimmonhall.address import Address
from persimmonhall.ids import ServiceName


class BackendState(Enum):
    """Define whether a backend server accepts new requests."""

    ABSENT = "absent"
    READY = "ready"
    LEAVING = "leaving"


@dataclass(frozen=True)
class Backend:
    """Describe a backend server by its announcement."""

    service: ServiceName
    address: Address
    slots: int
    connections: int
    state: BackendState = BackendState.READY
