"""Broadcast suspects to all nodes, and repair differences by comparing digests."""

import random
import struct
from collections.abc import Callable, Iterable
from typing import Protocol

import trio
from absl import logging
from returns.result import Success

from persimmonhall.address import Address, parse_address
from persimmonhall.ids import NodeName
from persimmonhall.membership.control_members import CONTROL_SERVICE
from persimmonhall.membership.messages import Member, ReportTopic
from persimmonhall.membership.table import MemberTable
from persimmonhall.once.crash_messages import (
    Suspect,
    SuspectNews,
    decode_news,
    encode_news,
)
from persimmonhall.once.suspects import SuspectTable
from persimmonhall.wire.frames import Channel
from persimmonhall.wire.link import LinkPool

COMPARE_INTERVAL_S = 2.0
SEND_TIMEOUT_S = 2.0
MAX_CONCURRENT_SENDS = 64
DIGEST = struct.Struct("<Q")


class Reports(Protocol):
    """Exchange reports that may be lost with other nodes."""

    def set_report_handler(
        self, topic: ReportTopic, handler: Callable[[NodeName, bytes], None]
    ) -> None:
        """Set the function that gets the reports of other nodes on a topic."""

    def send_report(
        self, topic: ReportTopic, payload: bytes, members: Iterable[Member]
    ) -> None:
        """Send a report to some members."""


class SuspectPropagator:
    """Keep the suspect tables of all nodes in sync."""

    def __init__(
        self,
        suspects: SuspectTable,
        members: MemberTable,
        links: LinkPool,
        nursery: trio.Nursery,
        rng: random.Random,
    ):
        self._suspects = suspects
        self._members = members
        self._links = links
        self._nursery = nursery
        self._rng = rng
        self._send_limiter = trio.CapacityLimiter(MAX_CONCURRENT_SENDS)
        self._is_repairing = False

    def broadcast(self, suspects: tuple[Suspect, ...]) -> trio.Event:
        """Send suspects to all peers; return an event set when every send has ended."""
        done = trio.Event()
        self._nursery.start_soon(self._broadcast, suspects, done)
        return done

    async def handle(self, payload: bytes) -> bytes:
        """Merge a gossip update; reply with the whole table if the digests differ."""
        now = trio.current_time()
        news = decode_news(payload)
        self._merge(news, now)
        local_news = self._suspects.make_news(now)
        if local_news.digest != news.digest:
            local_news = self._suspects.make_news(now, suspects=self._suspects.all(now))
        return encode_news(local_news)

    async def run(self) -> None:
        """Compare tables with one random peer at a time until cancelled."""
        while True:
            peers = self._peer_nodes()
            if peers:
                address = parse_address(self._rng.choice(peers).frames).unwrap()
                try:
                    await self._compare_with_peer(address)
                except ValueError as error:
                    logging.warning("suspects not compared peer=%s %s", address, error)
            await trio.sleep(COMPARE_INTERVAL_S)

    async def run_with_reports(self, reports: Reports) -> None:
        """Report the digest to one random peer at a time until cancelled.

        Only a peer with another table connects: comparing over connections would open
        one between any two nodes in time.
        """
        reports.set_report_handler(ReportTopic.SUSPECTS, self._handle_report)
        while True:
            peers = self._peer_nodes()
            if peers:
                payload = DIGEST.pack(self._digest())
                peer = self._rng.choice(peers)
                reports.send_report(ReportTopic.SUSPECTS, payload, [peer])
            await trio.sleep(COMPARE_INTERVAL_S)

    def _digest(self) -> int:
        return self._suspects.make_news(trio.current_time()).digest

    def _handle_report(self, sender: NodeName, report: bytes) -> None:
        member = self._members.get(sender)
        if member is None or self._is_repairing:
            # Compared again with a later report.
            return
        if report != DIGEST.pack(self._digest()):
            self._is_repairing = True
            self._nursery.start_soon(self._repair, member)

    async def _repair(self, member: Member) -> None:
        try:
            await self._compare_with_peer(parse_address(member.frames).unwrap())
        except ValueError as error:
            logging.warning("suspects not compared peer=%s %s", member.node, error)
        finally:
            self._is_repairing = False

    def _peer_nodes(self) -> list[Member]:
        """Return the other nodes; control VMs are members too but hold no suspects."""
        return [m for m in self._members.peers() if m.service != CONTROL_SERVICE]

    async def _broadcast(self, suspects: tuple[Suspect, ...], done: trio.Event) -> None:
        payload = encode_news(
            self._suspects.make_news(trio.current_time(), suspects=suspects)
        )
        async with trio.open_nursery() as nursery:
            for member in self._peer_nodes() if suspects else ():
                address = parse_address(member.frames).unwrap()
                nursery.start_soon(self._send, address, payload)
        done.set()

    async def _send(self, address: Address, payload: bytes) -> None:
        async with self._send_limiter:
            with trio.move_on_after(SEND_TIMEOUT_S):
                await self._links.request(address, Channel.ONCE, payload)

    async def _compare_with_peer(self, address: Address) -> None:
        payload = encode_news(SuspectNews(self._digest(), ()))
        with trio.move_on_after(SEND_TIMEOUT_S):
            match await self._links.request(address, Channel.ONCE, payload):
                case Success(data):
                    await self._handle_reply(address, decode_news(data))

    async def _handle_reply(self, address: Address, news: SuspectNews) -> None:
        now = trio.current_time()
        self._merge(news, now)
        local_news = self._suspects.make_news(now)
        if local_news.digest != news.digest:
            local_news = self._suspects.make_news(now, suspects=self._suspects.all(now))
            await self._send(address, encode_news(local_news))

    def _merge(self, news: SuspectNews, now: float) -> None:
        for suspect in news.suspects:
            before = self._suspects.suspicion(suspect.fingerprint, now)
            self._suspects.merge((suspect,), now)
            after = self._suspects.suspicion(suspect.fingerprint, now)
            if after is not before:
                logging.info(
                    "suspicion fingerprint=%016x service=%s request=%s suspicion=%s",
                    suspect.fingerprint,
                    suspect.service,
                    suspect.request,
                    after.value,
                )
