"""Exchange member records with peers."""

import random
from dataclasses import replace

import trio
from absl import logging
from returns.result import Success

from persimmonhall.address import Address, parse_address
from persimmonhall.ids import ServiceName
from persimmonhall.membership.messages import (
    MemberState,
    decode_gossip,
    encode_gossip,
)
from persimmonhall.membership.table import MemberTable
from persimmonhall.wire.frames import Channel
from persimmonhall.wire.link import LinkPool

INTERVAL_S = 0.5
PEERS_PER_ROUND = 2


class Gossiper:
    """Tell peers about members, a few peers each round."""

    def __init__(
        self,
        table: MemberTable,
        links: LinkPool,
        seeds: tuple[Address, ...],
        rng: random.Random,
    ):
        self._table = table
        self._links = links
        self._seeds = seeds
        self._rng = rng
        self._news = trio.Event()
        self._leaving = False

    def announce(self, service: ServiceName, slots: int, state: MemberState) -> None:
        """Change what peers hear of this node's backend server."""
        own = self._table.own
        state = MemberState.LEAVING if self._leaving else state
        changed = replace(own, service=service, slots=slots, state=state)
        if changed != own:
            self._table.set_own(replace(changed, version=own.version + 1))
            self._news.set()

    def set_frames(self, address: Address) -> None:
        """Change the address that peers reach this node at."""
        self._table.set_own(replace(self._table.own, frames=str(address)))

    def leave(self) -> None:
        """Tell peers that this node takes no new calls."""
        own = self._table.own
        self._leaving = True
        self.announce(own.service, own.slots, MemberState.LEAVING)

    async def handle(self, payload: bytes) -> bytes:
        """Answer gossip with what this node knows."""
        self._table.merge(decode_gossip(payload), trio.current_time())
        return encode_gossip(self._table.gossip())

    async def run(self) -> None:
        """Gossip until cancelled."""
        while True:
            own = self._table.own
            self._table.set_own(replace(own, version=own.version + 1))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._wait)
                for address in self._choose_peers():
                    nursery.start_soon(self._exchange, address)
            for member in self._table.forget_silent(trio.current_time()):
                logging.info("member silent node=%s", member.node)

    async def _wait(self) -> None:
        self._news = trio.Event()
        with trio.move_on_after(INTERVAL_S):
            await self._news.wait()

    def _choose_peers(self) -> list[Address]:
        known = [parse_address(m.frames).unwrap() for m in self._table.peers()]
        unknown = [seed for seed in self._seeds if seed not in known]
        count = min(PEERS_PER_ROUND, len(known))
        return self._rng.sample(known, count) + unknown

    async def _exchange(self, address: Address) -> None:
        payload = encode_gossip(self._table.gossip())
        with trio.move_on_after(INTERVAL_S):
            match await self._links.ask(address, Channel.MEMBERSHIP, payload):
                case Success(data):
                    self._table.merge(decode_gossip(data), trio.current_time())
