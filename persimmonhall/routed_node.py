"""Run a node that serves callers by the routes of the release in force."""

import gc
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass

import trio
from returns.result import Failure, Result, Success

from persimmonhall.address import Address
from persimmonhall.call.crash_suspects import CrashSuspects
from persimmonhall.call.routed_entry import OwnNode, RoutedEntry
from persimmonhall.call.routed_gate import RoutedGate
from persimmonhall.dialect import Dialect
from persimmonhall.events import Event, EventLog
from persimmonhall.exposition import Exposition
from persimmonhall.http.callers import CallerServer, Exchange
from persimmonhall.http.messages import HttpAnswer, HttpRequest
from persimmonhall.http.reading import Message, request_of
from persimmonhall.logs import log_to_events
from persimmonhall.membership.control_members import ControlMembers
from persimmonhall.membership.gossip import Gossiper
from persimmonhall.membership.instances import InstanceWatch
from persimmonhall.membership.own import first_record
from persimmonhall.membership.table import MemberTable
from persimmonhall.once.propagation import SuspectPropagator
from persimmonhall.once.suspects import SuspectTable
from persimmonhall.release.follow import ReleaseFollower
from persimmonhall.release.in_force import ReleaseInForce
from persimmonhall.release.schema import CallerLimits
from persimmonhall.reload import SettingsSource, watch_settings
from persimmonhall.routing.call_graph import CallGraph
from persimmonhall.routing.route_levels import RouteLevels
from persimmonhall.routing.route_origins import RouteOrigins
from persimmonhall.routing.router import Router
from persimmonhall.routing.service_retry_budget import ServiceRetryBudget
from persimmonhall.settings import NodeSettings
from persimmonhall.signals import wait_for_stop_signal
from persimmonhall.timers import Timers
from persimmonhall.wire.call_link import CallLinks, CallService
from persimmonhall.wire.frames import Channel
from persimmonhall.wire.link import LinkPool
from persimmonhall.wire.link_server import serve_links
from persimmonhall.wire.readiness import Readiness

# Equal to the intervals of levels and of checks on links.
STEP_S = 0.1
SLOW_STEPS = 5
# Objects of the collector's youngest generation: calls leave no cycles behind.
COLLECT_AFTER = 20_000
# Of the grace period: peers are told to send no more after the first share, for until
# then callers come here as well and the backend server has work; new calls of peers
# are refused after the second, callers are served up to the third, and what is open
# after the fourth gets its answer.
PEERS_SHARE = 0.4
GATE_SHARE = 0.45
CALLERS_SHARE = 0.75
LAST_SHARE = 0.88
# Callers are told twice, a second apart, that the node is not ready before they go.
CALLERS_LEAVE_S = 2.5
# Callers who have asked for nothing for this long have left.
QUIET_S = 0.5
# A node that knows no server of some service after this long serves what it can.
ALONE_S = 2.0
JSON_TYPE = (b"content-type", b"application/json")
TEXT_TYPE = (b"content-type", b"text/plain; version=0.0.4; charset=utf-8")
METRICS_PATH = "/metrics"


@dataclass(frozen=True)
class RoutedAddresses:
    """Name the addresses that a running node listens on."""

    callers: Address
    local: Address
    frames: Address


class _SyncApi:
    """Answer each request at once through a function."""

    def __init__(self, answer: Callable[[HttpRequest], HttpAnswer]):
        self._answer = answer

    def begin(self, message: Message, exchange: Exchange) -> None:
        """Answer a request."""
        exchange.answer_whole(self._answer(request_of(message)))

    def abandon(self, exchange: Exchange) -> None:
        """Every request is answered at once: nothing is left to stop."""


class RoutedNode:
    """Put the parts of a node together."""

    def __init__(self, settings: NodeSettings, dialect: Dialect, nursery: trio.Nursery):
        own = settings.node
        releases = settings.releases
        self.settings = settings
        self.log = EventLog(own.name)
        log_to_events(self.log)
        rng = random.Random(own.seed or None)
        self._dialect = dialect
        self._started = trio.current_time()
        self.stopping = False
        self.timers = Timers()
        self.readiness = Readiness()
        self._pool = LinkPool(nursery, own.frames.host)
        self._table = MemberTable(
            first_record(own.name, own.zone, own.region, own.frames)
        )
        control = _control_frames(settings)
        self._control = ControlMembers(self._table, control)
        self.gossiper = Gossiper(self._table, self._pool, control, rng)
        table = SuspectTable()
        self.spreader = SuspectPropagator(table, self._table, self._pool, nursery, rng)
        suspects = CrashSuspects(table, self.spreader)
        graph = CallGraph()
        self._levels = RouteLevels(graph)
        self._origins = RouteOrigins()
        self._known_index = 0
        self.gate = RoutedGate(
            dialect.headers,
            self.readiness,
            self.timers,
            graph,
            self._levels,
            self._origins,
            self.log,
            lambda: self.instances.take_down(),
            lambda calls: suspects.report(calls),
        )
        self.instances = InstanceWatch(
            self.gate, self.gossiper, releases.service, releases.backend, self.log
        )
        self.releases = ReleaseInForce(dialect.decode_release, self.log, rng)
        self.follower = ReleaseFollower(
            self.releases, self._control, self._pool, rng, self.log
        )
        self.entry = RoutedEntry(
            OwnNode(own.name, releases.service),
            dialect.headers,
            self.releases,
            self._table,
            Router(self._table, own.zone, rng),
            self.gate,
            lambda: self.links,
            ServiceRetryBudget(releases.resend_ratio, releases.resend_slack),
            graph,
            self._levels,
            self._origins,
            self.timers,
            rng,
            self.log,
            suspects,
        )
        self.links = CallLinks(self.entry, self.readiness, self.timers, self.log)
        self._exposition = Exposition(self.entry.counts, self.gate.counts, self._gauges)
        self.callers = CallerServer(
            self.entry, own.callers, self.readiness, self.timers, self._limits
        )
        self.local = CallerServer(
            _SyncApi(self._answer_local), own.local, self.readiness, self.timers
        )
        self.metrics: CallerServer | None = None
        if releases.metrics is not None:
            self.metrics = CallerServer(
                _SyncApi(self._answer_metrics),
                releases.metrics,
                self.readiness,
                self.timers,
            )
        self.ready = CallerServer(
            _SyncApi(self._answer_ready), releases.ready, self.readiness, self.timers
        )

    def _gauges(self) -> dict[str, float]:
        return {
            "requests_in_flight": self.entry.in_flight,
            "calls_in_flight": self.gate.in_flight,
            "calls_queued": self.gate.queued,
            "calls_limit": self.gate.limit,
            "level": self.gate.level,
            "release_index": self.releases.index,
            "members": self.gossiper.members,
            "log_lines_dropped": self.log.dropped,
            "ready": float(self.is_ready),
        }

    @property
    def is_ready(self) -> bool:
        """Tell whether callers should send requests here."""
        routes = self.releases.routes
        if self.stopping or routes is None:
            return False
        if trio.current_time() - self._started > ALONE_S:
            return True
        return all(map(self._table.servers_of, routes.services))

    async def start(self, nursery: trio.Nursery) -> RoutedAddresses:
        """Listen and run every part."""
        handlers = {
            Channel.MEMBERSHIP: self.gossiper.handle,
            Channel.ONCE: self.spreader.handle,
        }
        own = self.settings.node
        calls = CallService(self.readiness, self.gate)
        frames = await nursery.start(serve_links, handlers, own.frames, calls)
        self.gossiper.set_frames(frames, own.advertise or frames)
        callers = await nursery.start(self.callers.run)
        local = await nursery.start(self.local.run)
        await nursery.start(self.ready.run)
        if self.metrics is not None:
            await nursery.start(self.metrics.run)
        for part in (
            self.readiness.run,
            self.timers.run,
            self.gossiper.run,
            self.spreader.run,
            self.follower.run,
            self._step_forever,
        ):
            nursery.start_soon(part)
        return RoutedAddresses(callers, local, frames)

    async def leave(self) -> None:
        """Take the steps of a planned stop, within the grace period."""
        begin = trio.current_time()
        grace_s = self.settings.releases.grace_s
        self.stopping = True
        self.callers.draining = True
        self.entry.stop_at(begin + LAST_SHARE * grace_s)
        await trio.sleep(PEERS_SHARE * grace_s)
        self.gossiper.leave()
        await trio.sleep((GATE_SHARE - PEERS_SHARE) * grace_s)
        self.gate.leave()
        while trio.current_time() < begin + CALLERS_SHARE * grace_s:
            quiet_s = trio.current_time() - max(
                begin + CALLERS_LEAVE_S, self.entry.asked_at
            )
            if quiet_s > QUIET_S and self.gate.is_idle and not self.entry.in_flight:
                break
            await trio.sleep(STEP_S)
        self.callers.stop_accepting()
        self.callers.close_idle()
        while trio.current_time() < begin + LAST_SHARE * grace_s:
            if self.gate.is_idle and self.callers.is_idle:
                break
            await trio.sleep(STEP_S)
        self.gossiper.say_left()
        await trio.sleep(STEP_S)

    def reload(self, settings: NodeSettings) -> None:
        """Take in the control VMs that the settings name now."""
        self.settings = settings
        control = _control_frames(settings)
        self._control.set_seeds(control)
        self.gossiper.set_seeds(control)

    async def _step_forever(self) -> None:
        """Do all that is done at intervals in one task: each wait has its cost."""
        last = trio.current_time()
        for number in itertools.count():
            await trio.sleep(STEP_S)
            now = trio.current_time()
            self._step(now, now - last)
            if number % SLOW_STEPS == 0:
                self._step_slowly(now)
            last = now

    def _step(self, now: float, passed_s: float) -> None:
        if self.releases.routes is not None:
            ranks = self.releases.routes.ranks
            self._levels.set_ranks(ranks)
            self.gate.set_ranks(ranks)
        self.gate.step(now, passed_s)
        self.links.step(now)
        self.log.step(now)

    def _step_slowly(self, now: float) -> None:
        for server in (self.callers, self.local, self.ready, self.metrics):
            if server is not None:
                server.step(now)
        self.instances.step(now)
        if self.releases.index != self._known_index:
            self._known_index = self.releases.index
            routes = self.releases.routes.release.routes
            self._origins.keep({route.name for route in routes})

    def _limits(self) -> CallerLimits:
        routes = self.releases.routes
        return routes.release.limits if routes is not None else CallerLimits()

    def _answer_local(self, request: HttpRequest) -> HttpAnswer:
        call = self._dialect.node_call(request)
        if call is None:
            return HttpAnswer(404, ())
        is_read = self.instances.take(call)
        return HttpAnswer(200 if is_read else 400, (JSON_TYPE,), b"{}")

    def _answer_metrics(self, request: HttpRequest) -> HttpAnswer:
        if request.target != METRICS_PATH:
            return HttpAnswer(404, ())
        return HttpAnswer(200, (TEXT_TYPE,), self._exposition.page())

    def _answer_ready(self, request: HttpRequest) -> HttpAnswer:
        if request.target != self._dialect.ready_path:
            return HttpAnswer(404, ())
        return HttpAnswer(200 if self.is_ready else 503, ())


async def run_routed_node(
    source: SettingsSource[NodeSettings],
    dialect: Dialect,
    on_ready: Callable[[RoutedAddresses], None] = lambda addresses: None,
) -> Result[None, str]:
    """Serve until a stop signal, then finish what is in flight."""
    match source.load():
        case Failure(reason):
            return Failure(reason)
        case Success(settings):
            pass
    async with trio.open_nursery() as nursery:
        node = RoutedNode(settings, dialect, nursery)
        node.log.open()
        node.log.emit(Event.START, zone=settings.node.zone)
        stop = trio.Event()
        nursery.start_soon(wait_for_stop_signal, stop)
        addresses = await node.start(nursery)
        # What stands now stays: the collector need not look at it again.
        gc.freeze()
        gc.set_threshold(COLLECT_AFTER)
        nursery.start_soon(watch_settings, source, node.reload, node.log)
        on_ready(addresses)
        await stop.wait()
        node.log.emit(Event.STOP, in_flight=node.entry.in_flight)
        await node.leave()
        node.log.emit(Event.STOPPED, in_flight=node.entry.in_flight)
        node.log.flush()
        nursery.cancel_scope.cancel()
    return Success(None)


def _control_frames(settings: NodeSettings) -> tuple[Address, ...]:
    """Return where control VMs take frames; their API has another port."""
    port = settings.peers.frames_port
    control = settings.peers.control
    return tuple(Address(a.host, port or a.port) for a in control)
