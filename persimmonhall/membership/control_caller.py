"""Ask one control VM after the other until one answers."""

import random
from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

import trio
from absl import logging
from returns.result import Result, Success

from persimmonhall.address import Address
from persimmonhall.ids import ZoneName
from persimmonhall.membership.control_members import ControlMembers
from persimmonhall.wire.codec import UnionCodec
from persimmonhall.wire.frames import Channel

# After this time without an answer another VM is asked, too.
ANSWER_TIMEOUT_S = 0.4
ROUND_TIMEOUT_S = 1.6
# A VM that gave no answer is asked last for this long.
SILENCE_MEMORY_S = 10.0


class Links(Protocol):
    """Define how requests reach a control VM."""

    async def request(
        self, address: Address, channel: Channel, payload: bytes
    ) -> Result[bytes, Any]:
        """Send a request and return its reply."""

    def reset(self, address: Address) -> None:
        """Close the link to a peer that no longer replies."""


class ControlAnswer(NamedTuple):
    """Hold a reply, who gave it and when its request was sent."""

    reply: Any
    address: Address
    asked_at: float


class ControlCaller:
    """Ask control VMs of the own zone first and those that were silent last."""

    def __init__(
        self,
        control: ControlMembers,
        zone: ZoneName,
        links: Links,
        rng: random.Random,
        clock: Callable[[], float] = trio.current_time,
    ):
        self._control = control
        self._zone = zone
        self._links = links
        self._rng = rng
        self._clock = clock
        self._silent_since: dict[Address, float] = {}

    async def ask(
        self, payload: bytes, replies: UnionCodec, reply_type: type
    ) -> ControlAnswer | None:
        """Return the first reply of a type, None if no control VM gives one in time."""
        answer: ControlAnswer | None = None
        unanswered: set[Address] = set()

        async def ask_one(address: Address, ended: trio.Event) -> None:
            nonlocal answer
            asked_at = self._clock()
            unanswered.add(address)
            reply = await self._request(address, payload, replies)
            unanswered.discard(address)
            if isinstance(reply, reply_type):
                self._silent_since.pop(address, None)
                answer = answer or ControlAnswer(reply, address, asked_at)
                nursery.cancel_scope.cancel()
            ended.set()

        with trio.move_on_after(ROUND_TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                for address in self._order():
                    ended = trio.Event()
                    nursery.start_soon(ask_one, address, ended)
                    with trio.move_on_after(ANSWER_TIMEOUT_S):
                        await ended.wait()
                    if not ended.is_set():
                        self._silent_since[address] = trio.current_time()
        if answer is None:
            # After a network partition, an old connection may deliver nothing.
            for address in unanswered:
                self._links.reset(address)
        return answer

    async def _request(
        self, address: Address, payload: bytes, replies: UnionCodec
    ) -> object | None:
        match await self._links.request(address, Channel.CONTROL, payload):
            case Success(data):
                pass
            case _:
                return None
        try:
            return replies.decode(data)
        except ValueError as error:
            logging.warning("reply of control VM %s not readable: %s", address, error)
            return None

    def _order(self) -> list[Address]:
        """Return control VMs: those of the zone first, silent ones last."""
        now = trio.current_time()
        nearby = set(self._control.addresses_in(self._zone))
        addresses = list(self._control.addresses)
        self._rng.shuffle(addresses)

        def place(address: Address) -> tuple[bool, bool]:
            silent_at = self._silent_since.get(address)
            is_silent = silent_at is not None and now - silent_at < SILENCE_MEMORY_S
            return is_silent, address not in nearby

        return sorted(addresses, key=place)
