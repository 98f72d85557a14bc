"""Handle the announcements of the local backend server."""

import json
import re

import trio
from absl import logging
from returns.result import Failure, Result, Success

from persimmonhall.address import Address, parse_address
from persimmonhall.call.backend import Backend, BackendState
from persimmonhall.call.gate import Gate
from persimmonhall.errors import ErrorKind, Refusal, refuse
from persimmonhall.ids import ServiceName
from persimmonhall.membership.gossip import Gossiper
from persimmonhall.membership.messages import MAX_SLOTS, MemberState
from persimmonhall.process_pauses import ProcessPauses
from persimmonhall.settings import NAME_PATTERN

ANNOUNCEMENT_TIMEOUT_S = 6.0
CHECK_INTERVAL_S = 0.5
MEMBER_STATE_BY_BACKEND_STATE = {
    BackendState.READY: MemberState.READY,
    BackendState.LEAVING: MemberState.LEAVING,
}


def parse_announcement(body: bytes) -> Result[Backend, Refusal]:
    """Parse the JSON body of an announcement."""
    try:
        fields = json.loads(body)
        backend = Backend(
            service=_parse_service(fields, "service"),
            address=_parse_address_field(fields, "address"),
            slots=_parse_count(fields, "slots"),
            connections=_parse_count(fields, "connections"),
            state=_parse_state(fields, "state"),
        )
    except KeyError as error:
        return Failure(
            refuse(ErrorKind.BAD_REQUEST, f"announcement: missing key {error}")
        )
    except (ValueError, TypeError, AttributeError, RecursionError) as error:
        return Failure(refuse(ErrorKind.BAD_REQUEST, f"announcement: {error}"))
    return Success(backend)


def _parse_text(fields: dict, key: str) -> str:
    value = fields[key]
    if not isinstance(value, str) or not value:
        raise ValueError(f"{key} must be a non-empty string")
    return value


def _parse_service(fields: dict, key: str) -> ServiceName:
    value = _parse_text(fields, key)
    if re.fullmatch(NAME_PATTERN, value) is None:
        raise ValueError(f"{key} must match {NAME_PATTERN}")
    return ServiceName(value)


def _parse_state(fields: dict, key: str) -> BackendState:
    value = fields.get(key, BackendState.READY.value)
    states = [state.value for state in BackendState]
    if value not in states:
        raise ValueError(f"{key} must be one of {', '.join(states)}")
    return BackendState(value)


def _parse_address_field(fields: dict, key: str) -> Address:
    match parse_address(_parse_text(fields, key)):
        case Success(address):
            return address
        case Failure(reason):
            raise ValueError(f"{key}: {reason}")


def _parse_count(fields: dict, key: str) -> int:
    value = fields[key]
    if type(value) is not int or not 1 <= value <= MAX_SLOTS:
        raise ValueError(f"{key} must be an integer between 1 and {MAX_SLOTS}")
    return value


class BackendWatch:
    """Report the state of the local backend server to the gate and to peers."""

    def __init__(self, gate: Gate, gossiper: Gossiper, process_pauses: ProcessPauses):
        self._gate = gate
        self._gossiper = gossiper
        self._process_pauses = process_pauses
        self._last_announcement_at = 0.0

    def handle_announcement(self, backend: Backend) -> None:
        """Handle one announcement."""
        self._last_announcement_at = trio.current_time()
        if backend != self._gate.backend:
            logging.info(
                "backend announced service=%s address=%s slots=%d state=%s",
                backend.service,
                backend.address,
                backend.slots,
                backend.state.value,
            )
        self._gate.set_backend(backend)
        state = MEMBER_STATE_BY_BACKEND_STATE[backend.state]
        self._gossiper.announce(backend.service, backend.slots, state)

    def drop(self) -> None:
        """Remove the backend server until it announces itself again."""
        self._gate.set_backend(None)
        self._gossiper.announce(ServiceName(""), 0, MemberState.EMPTY)

    async def run(self) -> None:
        """Remove the backend server when its announcements stop."""
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            now = trio.current_time()
            if self._process_pauses.has_paused_since(self._last_announcement_at, now):
                self._last_announcement_at = now
            backend = self._gate.backend
            if (
                backend is None
                or now - self._last_announcement_at < ANNOUNCEMENT_TIMEOUT_S
            ):
                continue
            logging.warning("backend silent service=%s", backend.service)
            self.drop()
