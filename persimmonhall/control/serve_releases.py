"""Serve releases on a control VM and introduce nodes to each other."""

import random
from dataclasses import dataclass, field

import trio
from absl import logging

from persimmonhall.address import Address
from persimmonhall.control.replica import Replica
from persimmonhall.dialect import Dialect
from persimmonhall.errors import ErrorKind, refuse
from persimmonhall.events import Event, EventLog
from persimmonhall.http.caller_server import CHECK_INTERVAL_S, CallerServer, Exchange
from persimmonhall.http.message_reader import Message, to_http_request
from persimmonhall.http.refusals import refusal_answer
from persimmonhall.membership.control_members import CONTROL_SERVICE
from persimmonhall.membership.gossip import Gossiper
from persimmonhall.membership.initial_member import make_initial_member
from persimmonhall.membership.table import MemberTable
from persimmonhall.release.api import ReleaseApi
from persimmonhall.settings import ControlSection
from persimmonhall.timers import Timers
from persimmonhall.wire.link import LinkPool
from persimmonhall.wire.readiness import Readiness

REGION = "default"


@dataclass
class ReleaseParts:
    """Hold what the release side of a control VM needs."""

    dialect: Dialect
    log: EventLog
    gossiper: Gossiper | None = field(default=None)

    def join_members(self, own: ControlSection, links: LinkPool):
        """Become a member and return the handler of membership asks."""
        frames = own.advertise or own.frames
        member = make_initial_member(
            own.name, own.zone, REGION, frames, CONTROL_SERVICE
        )
        rng = random.Random(own.seed or None)
        self.gossiper = Gossiper(MemberTable(member), links, own.peers, rng)
        self.gossiper.set_frames_address(own.frames, frames)
        return self.gossiper.handle

    def reload(self, peers: tuple[Address, ...]) -> None:
        """Take in the control VMs that the settings name now."""
        if self.gossiper is not None:
            self.gossiper.set_seeds(peers)


class _TaskApi:
    """Answer each request in a task of its own."""

    def __init__(self, api: ReleaseApi, nursery: trio.Nursery):
        self._api = api
        self._nursery = nursery

    def begin(self, message: Message, exchange: Exchange) -> None:
        """Start to answer a request."""
        self._nursery.start_soon(self._answer, message, exchange)

    def abandon(self, exchange: Exchange) -> None:
        """Let a change go on: its operator may ask again and finds it made."""

    async def _answer(self, message: Message, exchange: Exchange) -> None:
        request = to_http_request(message)
        try:
            answer = await self._api.handle(request)
        except Exception:
            # A fault met by one request must not end the process.
            logging.exception("request failed target=%s", request.target)
            detail = "the request met a fault of the system"
            answer = refusal_answer(refuse(ErrorKind.INTERNAL, detail))
        exchange.send_answer(answer)


async def serve_releases(
    parts: ReleaseParts, own: ControlSection, replica: Replica, nursery: trio.Nursery
) -> Address | None:
    """Serve the release API, if it has an address, and gossip."""
    nursery.start_soon(parts.gossiper.run)
    nursery.start_soon(parts.log.run)
    parts.log.emit(Event.START, zone=own.zone, disk=replica.core.id)
    if own.releases is None:
        return None
    api = ReleaseApi(replica, parts.dialect, len(own.peers), parts.log)
    readiness, timers = Readiness(), Timers()
    nursery.start_soon(readiness.run)
    nursery.start_soon(timers.run)
    server = CallerServer(_TaskApi(api, nursery), own.releases, readiness, timers)
    nursery.start_soon(_step_forever, server)
    return await nursery.start(server.run)


async def _step_forever(server: CallerServer) -> None:
    while True:
        await trio.sleep(CHECK_INTERVAL_S)
        server.step(trio.current_time())
