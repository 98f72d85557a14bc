"""Run a node that serves callers by the routes of the active release."""

import gc
import random
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import NamedTuple

import trio
from returns.result import Failure, Result, Success

from persimmonhall.address import Address
from persimmonhall.call.backend_session import BackendListeners
from persimmonhall.call.call_dispatcher import LocalNode
from persimmonhall.call.crash_suspects import CrashSuspects
from persimmonhall.call.entry_factory import EntryParts, make_routed_entry
from persimmonhall.call.routed_gate import RoutedGate
from persimmonhall.call.shutdown_window import ShutdownWindow
from persimmonhall.departure.messages import RecordedDeparture
from persimmonhall.departure.recorder import DepartureRecorder
from persimmonhall.dialect import Dialect
from persimmonhall.events import Event, EventLog
from persimmonhall.exposition import Exposition
from persimmonhall.guards import call_guarded
from persimmonhall.http.caller_server import CallerServer, Exchange
from persimmonhall.http.message_reader import Message, to_http_request
from persimmonhall.http.messages import HttpAnswer, HttpRequest
from persimmonhall.ids import NodeName
from persimmonhall.logs import route_logs_to_events
from persimmonhall.membership.control_caller import ControlCaller
from persimmonhall.membership.control_members import ControlMembers
from persimmonhall.membership.gossip import Gossiper
from persimmonhall.membership.initial_member import make_initial_member
from persimmonhall.membership.instance_watch import InstanceWatch
from persimmonhall.membership.messages import ReportTopic
from persimmonhall.membership.table import MemberTable
from persimmonhall.once.propagation import SuspectPropagator
from persimmonhall.once.suspects import SuspectTable
from persimmonhall.organisation.release_confirmer import ReleaseConfirmer
from persimmonhall.organisation.release_proof import ReleaseProof, boot_time_s
from persimmonhall.pooling.gossiped_counts import make_pooled_counts
from persimmonhall.pooling.status import (
    ORGANISATIONS_PATH,
    answer_status,
    organisation_gauges,
)
from persimmonhall.process_pauses import ProcessPauses
from persimmonhall.release.active import ActiveRelease
from persimmonhall.release.routes import RouteTable
from persimmonhall.release.schema import CallerLimits
from persimmonhall.release.watcher import ReleaseWatcher
from persimmonhall.reload import SettingsSource, changed_fields, watch_settings
from persimmonhall.routed_shutdown import shut_down_gracefully
from persimmonhall.routing.health_sharing import HEALTH_FANOUT, HealthSharing
from persimmonhall.routing.level_sharing import (
    REPORT_FANOUT,
    REPORT_INTERVAL_S,
    LevelSharing,
)
from persimmonhall.routing.route_knowledge import make_route_knowledge
from persimmonhall.routing.router import Router
from persimmonhall.routing.service_retry_budget import ServiceRetryBudget
from persimmonhall.settings import NodeSettings
from persimmonhall.signals import wait_for_stop_signal
from persimmonhall.timers import Timers
from persimmonhall.wire.call_link_pool import CallLinkPool
from persimmonhall.wire.call_server import CallServer
from persimmonhall.wire.frames import Channel
from persimmonhall.wire.link import LinkPool
from persimmonhall.wire.link_server import serve_links
from persimmonhall.wire.poller import Poller
from persimmonhall.wire.transfer_budget import TransferBudget

# Equals the step interval of levels and the check interval of links.
STEP_INTERVAL_S = 0.1
STEPS_PER_SLOW_STEP = 5
STEPS_PER_LEVEL_REPORT = round(REPORT_INTERVAL_S / STEP_INTERVAL_S)
# Threshold of the youngest GC generation: calls leave no reference cycles behind.
GC_THRESHOLD_OBJECTS = 20_000
# After this time a node is ready even if it knows no server of some services.
SERVER_DISCOVERY_TIMEOUT_S = 2.0
JSON_CONTENT_TYPE = (b"content-type", b"application/json")
METRICS_CONTENT_TYPE = (b"content-type", b"text/plain; version=0.0.4; charset=utf-8")
METRICS_PATH = "/metrics"
# Settings that bind when the file is read again; the others bind at the next start.
RELOADED_FIELDS = frozenset(
    {
        "peers.control",
        "peers.frames_port",
        "releases.resend_ratio",
        "releases.resend_slack",
        "releases.grace_s",
        "organisations.withdrawal_s",
    }
)
# A backend server takes a later answer for none.
ACKNOWLEDGE_TIMEOUT_S = 0.8
# The departure took effect here; its server reports it again.
UNCONFIRMED_ANSWER = HttpAnswer(503, (JSON_CONTENT_TYPE,), b"{}")


@dataclass(frozen=True)
class RoutedAddresses:
    """Hold the addresses that a running node listens on."""

    callers: Address
    local: Address
    frames: Address


class _SyncApi:
    """Answer each request synchronously by a function."""

    def __init__(self, get_answer: Callable[[HttpRequest], HttpAnswer]):
        self._get_answer = get_answer

    def begin(self, message: Message, exchange: Exchange) -> None:
        """Answer a request."""
        exchange.send_answer(self._get_answer(to_http_request(message)))

    def abandon(self, exchange: Exchange) -> None:
        """Do nothing: every request is answered when it begins."""


class _LocalAnswer(NamedTuple):
    """Hold an answer and the departure that it acknowledges."""

    answer: HttpAnswer
    departure: RecordedDeparture | None = None


class _LocalApi:
    """Answer the local server; hold back what acknowledges an unknown departure."""

    def __init__(
        self,
        get_answer: Callable[[HttpRequest], _LocalAnswer],
        gossiper: Gossiper,
        recorder: DepartureRecorder,
        nursery: trio.Nursery,
    ):
        self._get_answer = get_answer
        self._gossiper = gossiper
        self._recorder = recorder
        self._nursery = nursery

    def begin(self, message: Message, exchange: Exchange) -> None:
        """Answer a request, once the departure that it reports is recorded."""
        answer, departure = self._get_answer(to_http_request(message))
        if departure is None:
            exchange.send_answer(answer)
        else:
            self._nursery.start_soon(self._acknowledge, answer, departure, exchange)

    def abandon(self, exchange: Exchange) -> None:
        """Let the departure be recorded all the same."""

    async def _acknowledge(
        self, answer: HttpAnswer, departure: RecordedDeparture, exchange: Exchange
    ) -> None:
        self._recorder.record(departure)
        with trio.move_on_after(ACKNOWLEDGE_TIMEOUT_S):
            if self._gossiper.has_unconfirmed_departure:
                await self._gossiper.confirm_departure()
            await self._recorder.wait_until_recorded(departure)
        if not self._recorder.is_recorded(departure):
            self._recorder.log_unconfirmed(departure)
            answer = UNCONFIRMED_ANSWER
        call_guarded(exchange.send_answer, answer)


class RoutedNode:
    """Assemble the components of a node and run them."""

    def __init__(self, settings: NodeSettings, dialect: Dialect, nursery: trio.Nursery):
        node_settings = settings.node
        releases = settings.releases
        self.settings = settings
        self.log = EventLog(node_settings.name)
        route_logs_to_events(self.log)
        rng = random.Random(node_settings.seed or None)
        self._dialect = dialect
        self._started_at = trio.current_time()
        self.is_stopping = False
        self.timers = Timers()
        self.poller = Poller()
        self._pauses = ProcessPauses()
        self._pool = LinkPool(nursery, node_settings.frames.host)
        self._table = MemberTable(
            make_initial_member(
                node_settings.name,
                node_settings.zone,
                node_settings.region,
                node_settings.frames,
            )
        )
        control_addresses = _control_frame_addresses(settings)
        self._control = ControlMembers(self._table, control_addresses)
        self.gossiper = Gossiper(
            self._table, self._pool, control_addresses, rng, self.poller
        )
        knowledge = make_route_knowledge()
        suspect_table = SuspectTable()
        self._levels = knowledge.levels
        self._level_sharing = LevelSharing(self._levels)
        self.gossiper.set_report_handler(ReportTopic.LEVELS, self._merge_level_report)
        self.propagator = SuspectPropagator(
            suspect_table, self._table, self._pool, nursery, rng
        )
        router = Router(self._table, node_settings.zone, rng)
        self._health_sharing = HealthSharing(router, node_settings.name, self.log)
        self.gossiper.set_report_handler(ReportTopic.HEALTH, self._merge_health_report)
        suspects = CrashSuspects(suspect_table, self.propagator)
        self._origins = knowledge.origins
        self._applied_release_index = 0
        self._shutdown = ShutdownWindow()
        # Of large messages: bodies of calls and answers at the gate, replies at the
        # entry. Separate, as what one holds may wait for room in another.
        self._call_budget = TransferBudget()
        self._answer_budget = TransferBudget(
            count_others=lambda: (
                self.calls.queued_bytes + self.callers.held_answer_bytes
            )
        )
        self._reply_budget = TransferBudget(
            count_others=lambda: self.callers.held_answer_bytes
        )
        self.gate = RoutedGate(
            dialect.headers,
            self.poller,
            self.timers,
            knowledge,
            self.log,
            BackendListeners(
                on_unavailable=lambda: self.instances.announce_unavailable(),
                on_death=suspects.report_death,
                on_leaving=lambda: self.instances.announce_leaving(),
                on_misdirected=lambda: self.instances.refute_instance(),
            ),
            shutdown=self._shutdown,
            answer_budget=self._answer_budget,
        )
        caller = ControlCaller(self._control, node_settings.zone, self._pool, rng)
        self._departures = DepartureRecorder(node_settings.name, caller, self.log)
        self.instances = InstanceWatch(
            self.gate,
            self.gossiper,
            self._departures,
            releases.service,
            releases.backend,
            self.log,
        )
        self.releases = ActiveRelease(
            dialect.decode_release, self.log, rng, self._set_ranks
        )
        self.release_watcher = ReleaseWatcher(
            self.releases,
            self._control,
            node_settings.zone,
            self._pool,
            rng,
            self.log,
        )
        self._retry_budget = ServiceRetryBudget(
            releases.resend_ratio, releases.resend_slack
        )
        self._proof = ReleaseProof(settings.organisations.withdrawal_s)
        self._confirmer = ReleaseConfirmer(
            self._proof,
            self.releases,
            ControlCaller(
                self._control, node_settings.zone, self._pool, rng, boot_time_s
            ),
            self.release_watcher,
            rng,
            self.log,
        )
        self.pooled_counts = make_pooled_counts(
            self._table, settings.organisations, rng, self.gossiper, self.log
        )
        self.entry = make_routed_entry(
            EntryParts(
                local=LocalNode(node_settings.name, releases.service),
                headers=dialect.headers,
                releases=self.releases,
                table=self._table,
                router=router,
                gate=self.gate,
                links=lambda: self.links,
                retry_budget=self._retry_budget,
                knowledge=knowledge,
                timers=self.timers,
                rng=rng,
                log=self.log,
                suspects=suspects,
                pauses=self._pauses,
                proof=self._proof,
                limits=self.pooled_counts.limits,
                shutdown=self._shutdown,
            )
        )
        self.links = CallLinkPool(
            self.entry,
            self.poller,
            self.timers,
            self.log,
            self.entry.may_send,
            self._reply_budget,
        )
        self.calls = CallServer(self.poller, self.gate, self._pauses, self._call_budget)
        self._exposition = Exposition(
            self.entry.counts,
            self.gate.counts,
            self._read_gauges,
            lambda: organisation_gauges(self.pooled_counts),
        )
        self.callers = CallerServer(
            self.entry,
            node_settings.callers,
            self.poller,
            self.timers,
            self._caller_limits,
            screen=self.entry.screen,
            on_unread_refusal=self.entry.record_unread,
        )
        self.local = CallerServer(
            _LocalApi(self._answer_local, self.gossiper, self._departures, nursery),
            node_settings.local,
            self.poller,
            self.timers,
        )
        self.metrics: CallerServer | None = None
        if releases.metrics is not None:
            self.metrics = CallerServer(
                _SyncApi(self._answer_metrics),
                releases.metrics,
                self.poller,
                self.timers,
            )
        self.ready = CallerServer(
            _SyncApi(self._answer_ready), releases.ready, self.poller, self.timers
        )

    def _read_gauges(self) -> dict[str, float]:
        return {
            "requests_in_flight": self.entry.in_flight,
            "calls_in_flight": self.gate.in_flight,
            "calls_queued": self.gate.queued,
            "calls_limit": self.gate.limit,
            "calls_rate_limit": self.gate.rate_limit,
            "level": self.gate.level,
            "release_index": self.releases.index,
            "members": self.gossiper.member_count,
            "log_lines_dropped": self.log.dropped,
            "ready": float(self.is_ready),
            "request_body_bytes": self.callers.bodies.held_bytes,
            "answer_bytes": self.callers.held_answer_bytes + self.calls.queued_bytes,
            "transfers_waiting": sum(
                budget.waiting_count
                for budget in (
                    self._call_budget,
                    self._answer_budget,
                    self._reply_budget,
                )
            ),
            "collector": float(self.pooled_counts.is_collector),
            "release_proof_seconds": self._confirmer.remaining_s,
        }

    @property
    def is_ready(self) -> bool:
        """Return whether callers should send requests here."""
        routes = self.releases.routes
        if self.is_stopping or routes is None:
            return False
        if trio.current_time() - self._started_at > SERVER_DISCOVERY_TIMEOUT_S:
            return True
        return all(map(self._table.servers_of, routes.services))

    async def start(
        self, nursery: trio.Nursery, *, owns_thread: bool = False
    ) -> RoutedAddresses:
        """Open the listeners and start every component.

        Only a node with no other node on its thread may own the thread.
        """
        handlers = {
            Channel.MEMBERSHIP: self.gossiper.handle,
            Channel.ONCE: self.propagator.handle,
        }
        node_settings = self.settings.node
        frames = await nursery.start(
            serve_links, handlers, node_settings.frames, self.calls
        )
        self.gossiper.set_frames_address(frames, node_settings.advertise or frames)
        callers = await nursery.start(self.callers.run)
        local = await nursery.start(self.local.run)
        await nursery.start(self.ready.run)
        if self.metrics is not None:
            await nursery.start(self.metrics.run)
        if owns_thread:
            nursery.start_soon(self.poller.run_alone, self.timers)
        else:
            nursery.start_soon(self.poller.run)
            nursery.start_soon(self.timers.run)
        nursery.start_soon(self.gossiper.run)
        nursery.start_soon(self.propagator.run_with_reports, self.gossiper)
        nursery.start_soon(self.release_watcher.run)
        nursery.start_soon(self._confirmer.run)
        nursery.start_soon(self._departures.run)
        self._run_step(0, trio.current_time())
        return RoutedAddresses(callers, local, frames)

    async def shut_down(self) -> None:
        """Shut down gracefully, within the grace period."""
        self.is_stopping = True
        await shut_down_gracefully(
            self.callers,
            self.entry,
            self.gate,
            self.calls,
            self.gossiper,
            self._shutdown,
            self.settings.releases.grace_s,
            self._pauses,
        )

    def reload(self, settings: NodeSettings) -> list[str]:
        """Apply new settings; return the changed ones that bind at the next start."""
        previous = self.settings
        changed = changed_fields(previous, settings)
        if settings.releases is None:
            settings = replace(settings, releases=previous.releases)
        self.settings = settings
        control_addresses = _control_frame_addresses(settings)
        self._control.set_seeds(control_addresses)
        self.gossiper.set_seeds(control_addresses)
        self._proof.set_withdrawal(settings.organisations.withdrawal_s)
        releases = settings.releases
        self._retry_budget.set_limits(releases.resend_ratio, releases.resend_slack)
        return [name for name in changed if name not in RELOADED_FIELDS]

    def _set_ranks(self, routes: RouteTable) -> None:
        """Let levels count the ranks of a release from its first request on."""
        self._levels.set_ranks(routes.rank_count)
        self.gate.set_ranks(routes.rank_count)

    def _run_step(self, number: int, last: float) -> None:
        """Run all periodic work that is due and schedule the next step."""
        now = trio.current_time()
        self.timers.call_at(
            now + STEP_INTERVAL_S, lambda: self._run_step(number + 1, now)
        )
        self._pauses.record_heartbeat(now)
        self._step(now, now - last)
        if number % STEPS_PER_LEVEL_REPORT == 0:
            call_guarded(self._share_levels, now)
            call_guarded(self._share_health, now)
        if number % STEPS_PER_SLOW_STEP == 0:
            call_guarded(self._slow_step, now)

    def _step(self, now: float, elapsed_s: float) -> None:
        if self.releases.routes is not None:
            release = self.releases.routes.release
            self.pooled_counts.set_organisations(release.organisations)
            self.pooled_counts.is_rationing = self._levels.is_rationing(now)
        call_guarded(self.pooled_counts.step, now)
        call_guarded(self.gate.step, now, elapsed_s)
        call_guarded(self.links.step, now)
        for budget in (self._call_budget, self._answer_budget, self._reply_budget):
            call_guarded(budget.step)
        call_guarded(self._confirmer.step)
        call_guarded(self.log.step, now)

    def _share_levels(self, now: float) -> None:
        report = self._level_sharing.make_report(self.gate.own_levels(now), now)
        if report:
            self.gossiper.send_report_in_zone(ReportTopic.LEVELS, report, REPORT_FANOUT)

    def _share_health(self, now: float) -> None:
        speed = self.gate.load_meter.speed
        slowdown = speed.slowdown(now, self.gate.in_flight)
        report = self._health_sharing.make_report(slowdown, speed.usual_times(), now)
        if report:
            self.gossiper.send_report_in_zone(ReportTopic.HEALTH, report, HEALTH_FANOUT)

    def _merge_health_report(self, sender: NodeName, report: bytes) -> None:
        self._health_sharing.merge_report(report, trio.current_time())

    def _merge_level_report(self, sender: NodeName, report: bytes) -> None:
        self._level_sharing.merge_report(report, trio.current_time())

    def _slow_step(self, now: float) -> None:
        for server in (self.callers, self.local, self.ready, self.metrics):
            if server is not None:
                call_guarded(server.step, now)
        call_guarded(self.instances.step, now)
        if self.releases.index != self._applied_release_index:
            self._applied_release_index = self.releases.index
            release = self.releases.routes.release
            self.gate.set_connection_limits(
                {service.name: service.max_connections for service in release.services}
            )
            names = {route.name for route in release.routes}
            self._origins.keep(names)
            self.entry.keep_routes(names)
            self._level_sharing.set_routes(names)
            self._health_sharing.set_routes(names)

    def _caller_limits(self) -> CallerLimits:
        routes = self.releases.routes
        return routes.release.limits if routes is not None else CallerLimits()

    def _answer_local(self, request: HttpRequest) -> _LocalAnswer:
        if request.target == ORGANISATIONS_PATH and request.method == "GET":
            now = trio.current_time()
            return _LocalAnswer(answer_status(self.pooled_counts, now))
        call = self._dialect.node_call(request)
        if call is None:
            return _LocalAnswer(HttpAnswer(404, ()))
        if not self.instances.handle_call(call):
            return _LocalAnswer(HttpAnswer(400, (JSON_CONTENT_TYPE,), b"{}"))
        answer = HttpAnswer(200, (JSON_CONTENT_TYPE,), b"{}")
        return _LocalAnswer(answer, self.instances.departure_of(call))

    def _answer_metrics(self, request: HttpRequest) -> HttpAnswer:
        if request.target != METRICS_PATH:
            return HttpAnswer(404, ())
        return HttpAnswer(200, (METRICS_CONTENT_TYPE,), self._exposition.render())

    def _answer_ready(self, request: HttpRequest) -> HttpAnswer:
        if request.target != self._dialect.ready_path:
            return HttpAnswer(404, ())
        return HttpAnswer(200 if self.is_ready else 503, ())


async def run_routed_node(
    source: SettingsSource[NodeSettings],
    dialect: Dialect,
    on_ready: Callable[[RoutedAddresses], None] = lambda addresses: None,
) -> Result[None, str]:
    """Serve until a stop signal, then finish the requests in flight."""
    match source.load():
        case Failure(reason):
            return Failure(reason)
        case Success(settings):
            pass
    async with trio.open_nursery() as nursery:
        node = RoutedNode(settings, dialect, nursery)
        node.log.set_nonblocking()
        node.log.emit(Event.START, zone=settings.node.zone)
        stop = trio.Event()
        nursery.start_soon(wait_for_stop_signal, stop)
        addresses = await node.start(nursery, owns_thread=True)
        # Objects created by now live as long as the process: the GC can skip them.
        gc.freeze()
        gc.set_threshold(GC_THRESHOLD_OBJECTS)
        nursery.start_soon(watch_settings, source, node.reload, node.log)
        on_ready(addresses)
        await stop.wait()
        node.log.emit(Event.STOP, in_flight=node.entry.in_flight)
        await node.shut_down()
        node.log.emit(Event.STOPPED, in_flight=node.entry.in_flight)
        node.log.flush()
        nursery.cancel_scope.cancel()
    return Success(None)


def _control_frame_addresses(settings: NodeSettings) -> tuple[Address, ...]:
    """Return the frame addresses of control VMs; their API has another port."""
    port = settings.peers.frames_port
    addresses = settings.peers.control
    return tuple(Address(a.host, port or a.port) for a in addresses)
