"""Serve the release API and take part in membership gossip on a control VM."""

import random
from dataclasses import dataclass, field

import trio
from absl import logging

from persimmonhall.address import Address
from persimmonhall.control.replica import Replica
from persimmonhall.dialect import Dialect
from persimmonhall.errors import ErrorKind, refuse
from persimmonhall.events import Event, EventLog
from persimmonhall.guards import call_guarded
from persimmonhall.http.caller_server import CHECK_INTERVAL_S, CallerServer, Exchange
from persimmonhall.http.message_reader import Message, to_http_request
from persimmonhall.http.refusals import refusal_answer
from persimmonhall.membership.control_members import CONTROL_SERVICE, ControlMembers
from persimmonhall.membership.gossip import Gossiper
from persimmonhall.membership.initial_member import make_initial_member
from persimmonhall.membership.table import MemberTable
from persimmonhall.release.api import ReleaseApi
from persimmonhall.settings import ControlSection
from persimmonhall.timers import Timers
from persimmonhall.wire.link import LinkPool
from persimmonhall.wire.poller import Poller

DEFAULT_REGION = "default"
# Exceeds the time that a request waits for a quorum.
DRAIN_TIMEOUT_S = 3.0
DRAIN_CHECK_INTERVAL_S = 0.02


@dataclass
class ReleaseComponents:
    """Hold the parts that serve releases and membership on a control VM."""

    dialect: Dialect
    log: EventLog
    gossiper: Gossiper | None = field(default=None)
    server: CallerServer | None = field(default=None)
    members: ControlMembers | None = field(default=None)

    def find_control_vms(self) -> list[Address]:
        """Return the addresses of the members and of the settings, as of now."""
        return self.members.addresses if self.members is not None else []

    def join_membership(self, control_settings: ControlSection, links: LinkPool):
        """Join the membership gossip and return the handler of its requests."""
        frames = control_settings.advertise or control_settings.frames
        member = make_initial_member(
            control_settings.name,
            control_settings.zone,
            DEFAULT_REGION,
            frames,
            CONTROL_SERVICE,
        )
        rng = random.Random(control_settings.seed or None)
        table = MemberTable(member)
        self.members = ControlMembers(table, control_settings.peers)
        self.gossiper = Gossiper(table, links, control_settings.peers, rng)
        self.gossiper.set_frames_address(control_settings.frames, frames)
        return self.gossiper.handle

    async def drain(self) -> None:
        """Answer the requests that have arrived before a graceful shutdown."""
        if self.server is None:
            return
        self.server.is_draining = True
        self.server.stop_accepting()
        self.server.close_idle()
        with trio.move_on_after(DRAIN_TIMEOUT_S):
            while not self.server.is_idle:
                await trio.sleep(DRAIN_CHECK_INTERVAL_S)

    def update_peers(self, peers: tuple[Address, ...]) -> None:
        """Update the gossip seeds with the configured control VMs."""
        if self.gossiper is not None:
            self.gossiper.set_seeds(peers)
        if self.members is not None:
            self.members.set_seeds(peers)


class _TaskPerRequestHandler:
    """Handle each request in a separate task."""

    def __init__(self, api: ReleaseApi, nursery: trio.Nursery):
        self._api = api
        self._nursery = nursery

    def begin(self, message: Message, exchange: Exchange) -> None:
        """Start to handle a request."""
        self._nursery.start_soon(self._answer, message, exchange)

    def abandon(self, exchange: Exchange) -> None:
        """Let the change complete; the operator may retry and finds it made."""

    async def _answer(self, message: Message, exchange: Exchange) -> None:
        request = to_http_request(message)
        try:
            answer = await self._api.handle(request)
        except Exception:
            # An unexpected error in one request must not end the process.
            logging.exception("request failed target=%s", request.target)
            detail = "internal error while handling the request"
            answer = refusal_answer(refuse(ErrorKind.INTERNAL, detail))
        exchange.send_answer(answer)


async def serve_releases(
    components: ReleaseComponents,
    control_settings: ControlSection,
    replica: Replica,
    nursery: trio.Nursery,
) -> Address | None:
    """Run the gossip and, if it has an address, the release API."""
    nursery.start_soon(components.gossiper.run)
    nursery.start_soon(components.log.run)
    components.log.emit(Event.START, zone=control_settings.zone, disk=replica.core.id)
    if control_settings.releases is None:
        return None
    api = ReleaseApi(
        replica, components.dialect, len(control_settings.peers), components.log
    )
    poller, timers = Poller(), Timers()
    nursery.start_soon(poller.run)
    nursery.start_soon(timers.run)
    server = components.server = CallerServer(
        _TaskPerRequestHandler(api, nursery),
        control_settings.releases,
        poller,
        timers,
    )
    nursery.start_soon(_step_forever, server)
    return await nursery.start(server.run)


async def _step_forever(server: CallerServer) -> None:
    while True:
        await trio.sleep(CHECK_INTERVAL_S)
        call_guarded(server.step, trio.current_time())
