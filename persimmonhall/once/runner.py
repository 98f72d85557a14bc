"""Run an admitted call at most once and detect backend server crashes."""

from collections.abc import Awaitable, Callable
from typing import Protocol

from returns.result import Result

from persimmonhall.address import Address
from persimmonhall.call.messages import Call
from persimmonhall.errors import Refusal
from persimmonhall.http.messages import HttpAnswer
from persimmonhall.once.claimer import Claimer
from persimmonhall.once.crash_detector import CrashDetector
from persimmonhall.once.fingerprint import fingerprint_of
from persimmonhall.once.slot import Slot

Send = Callable[[], Awaitable[Result[HttpAnswer, Refusal]]]


class Runner(Protocol):
    """Decide whether an admitted call is sent to the backend server."""

    def refusal(self, call: Call) -> Refusal | None:
        """Return the refusal of a call that must not run, or None."""

    async def run(
        self, call: Call, address: Address, slot: Slot, send: Send
    ) -> Result[HttpAnswer, Refusal]:
        """Send the call, or answer it without sending it."""


class DirectRunner:
    """Send every call without a claim."""

    def refusal(self, call: Call) -> Refusal | None:
        """Refuse nothing."""
        return None

    async def run(
        self, call: Call, address: Address, slot: Slot, send: Send
    ) -> Result[HttpAnswer, Refusal]:
        """Send the call."""
        return await send()


class OnceRunner:
    """Send non-idempotent calls under a claim, and suspects one at a time."""

    def __init__(self, claimer: Claimer, crash_detector: CrashDetector):
        self._claimer = claimer
        self._crash_detector = crash_detector

    def refusal(self, call: Call) -> Refusal | None:
        """Refuse quarantined requests."""
        return self._crash_detector.refusal(_fingerprint(call))

    async def run(
        self, call: Call, address: Address, slot: Slot, send: Send
    ) -> Result[HttpAnswer, Refusal]:
        """Send the call; a non-idempotent one only if its claim is granted."""
        fingerprint = _fingerprint(call)

        async def run_watched() -> Result[HttpAnswer, Refusal]:
            return await self._crash_detector.run(call, fingerprint, address, send)

        if call.idempotent:
            return await run_watched()
        return await self._claimer.run(call, fingerprint, slot, run_watched)


def _fingerprint(call: Call):
    return fingerprint_of(call.service, call.method, call.target, call.body)
