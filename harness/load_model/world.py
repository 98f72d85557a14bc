"""Put nodes, servers and callers together and play them."""

import os
import random
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

import trio

from harness.load_model.callers import Callers
from harness.load_model.clock import Events, VirtualClock
from harness.load_model.scenario import Disturbance, Scenario
from harness.load_model.servers import HEADERS, ModelServer, host_of
from persimmonhall.address import Address
from persimmonhall.admission.level import STEP_INTERVAL_S
from persimmonhall.call.routed_entry import LocalNode, RoutedEntry
from persimmonhall.call.routed_gate import RoutedGate
from persimmonhall.dialect import InstanceReport, InstanceState, NativeDialect
from persimmonhall.events import EventLog
from persimmonhall.membership.messages import Member, MemberState
from persimmonhall.membership.table import MemberTable
from persimmonhall.release.active import ActiveRelease
from persimmonhall.release.messages import HeldRelease
from persimmonhall.release.schema import (
    CallerLimits,
    Release,
    ReleasedService,
    Route,
    RouteKind,
    WeightedService,
)
from persimmonhall.release.tests.builders import encode_release
from persimmonhall.routing.call_graph import CallGraph
from persimmonhall.routing.route_levels import RouteLevels
from persimmonhall.routing.route_origins import RouteOrigins
from persimmonhall.routing.router import Router
from persimmonhall.routing.service_retry_budget import ServiceRetryBudget

WITHIN_ZONE_S = 0.0002
FRAMES_PORT = 7000
SETTLE_S = 8.0
RESEND_RATIO = 0.2
RESEND_SLACK = 48.0


@dataclass
class ModelNode:
    """Hold one node and the server next to it."""

    name: str
    zone: str
    host: str
    server: ModelServer
    gate: RoutedGate
    entry: RoutedEntry


class ModelLinks:
    """Carry calls of one node to the gates of others, with the delay of the way."""

    def __init__(self, world: "World", own: str):
        self._world = world
        self._own = own

    def send(self, address: Address, call) -> None:
        """Send a call."""
        target = self._world.by_host[address.host]
        delay_s = self._world.delay_s(self._own, target.name)
        events = self._world.events

        def reply(answer) -> None:
            entry = self._world.nodes[self._own].entry
            events.after(delay_s, partial(entry.handle_reply, answer))

        events.after(delay_s, partial(target.gate.begin, self._own, call, reply))

    def cancel(self, address: Address, number) -> None:
        """Tell the gate that nobody waits."""
        target = self._world.by_host[address.host]
        delay_s = self._world.delay_s(self._own, target.name)
        self._world.events.after(
            delay_s, partial(target.gate.cancel, self._own, number)
        )


class World:
    """Play one scenario."""

    def __init__(self, scenario: Scenario, clock: VirtualClock):
        self.scenario = scenario
        self.events = Events(clock)
        self.rng = random.Random(scenario.seed)
        self.nodes: dict[str, ModelNode] = {}
        self.by_host: dict[str, ModelNode] = {}
        self.log = EventLog("model", os.open(os.devnull, os.O_WRONLY))
        self._kinds = {kind.name: kind for kind in scenario.kinds}
        self._members = self._make_members()
        self._text = encode_release(self._release())
        for member in self._members:
            self._add_node(member)
        entries = [node.entry for node in self.nodes.values()]
        self.callers = Callers(scenario, entries, self.events, self.rng)

    def delay_s(self, one: str, other: str) -> float:
        """Return how long a message takes between two nodes."""
        if self.nodes[one].zone == self.nodes[other].zone:
            return WITHIN_ZONE_S
        return self.scenario.between_zones_ms / 1000

    def play(self) -> None:
        """Play the whole scenario and let what is in flight end."""
        self.callers.start()
        self._step()
        for disturbance in self.scenario.disturbances:
            if disturbance.slow_service:
                self._slow(disturbance)
            if disturbance.shed_service:
                self._shed(disturbance)
        self.events.play(self.scenario.length_s + SETTLE_S)

    def _servers_of(self, service: str) -> list[ModelServer]:
        return [
            node.server
            for node in self.nodes.values()
            if node.gate.instance.service == service
        ]

    def _shed(self, disturbance: Disturbance) -> None:
        def change(share: float) -> None:
            for server in self._servers_of(disturbance.shed_service):
                server.shed_share = share

        self._change_for(disturbance, change, disturbance.shed_share, 0.0)

    def _slow(self, disturbance: Disturbance) -> None:
        servers = self._servers_of(disturbance.slow_service)
        servers = servers[: disturbance.slow_servers]

        def change(times: float) -> None:
            for server in servers:
                server.slow_times = times

        self._change_for(disturbance, change, disturbance.slow_times, 1.0)

    def _change_for(
        self,
        disturbance: Disturbance,
        change: Callable[[float], None],
        value: float,
        usual: float,
    ) -> None:
        """Set a value while a disturbance lasts."""
        end_s = disturbance.at_s + disturbance.for_s
        self.events.call_at(disturbance.at_s, partial(change, value))
        self.events.call_at(end_s, partial(change, usual))

    def _step(self) -> None:
        for node in self.nodes.values():
            node.gate.step(self.events.now, STEP_INTERVAL_S)
        self.log._buffered_lines.clear()
        self.events.after(STEP_INTERVAL_S, self._step)

    def _make_members(self) -> list[Member]:
        members = []
        for service in self.scenario.services:
            for number in range(service.servers):
                count = len(members) + 1
                zone = f"zone-{number % self.scenario.zones}"
                members.append(
                    Member(
                        node=f"{service.name}-{number}",
                        zone=zone,
                        region="r",
                        frames=f"10.0.{count // 250}.{count % 250}:{FRAMES_PORT}",
                        incarnation=1,
                        version=1,
                        service=service.name,
                        slots=service.slots,
                        state=MemberState.READY,
                    )
                )
        return members

    def _release(self) -> Release:
        routes = tuple(
            Route(
                name=kind.name,
                host=host_of(kind.name),
                path_prefix="/",
                kind=RouteKind.IDEMPOTENT
                if kind.may_repeat
                else RouteKind.NON_IDEMPOTENT,
                timeout_ms=kind.deadline_ms,
                latency_objective_ms=kind.objective_ms,
                priority=kind.priority,
                targets=(WeightedService(kind.service, 1),),
                max_servers=2,
            )
            for kind in self.scenario.kinds
        )
        services = tuple(ReleasedService(s.name, 1000) for s in self.scenario.services)
        return Release(1, 0, routes, services, CallerLimits())

    def _add_node(self, own: Member) -> None:
        host = own.frames.partition(":")[0]
        rng = random.Random(self.rng.random())
        service = next(s for s in self.scenario.services if s.name == own.service)
        number = int(own.node.rpartition("-")[2])
        speed = service.speeds[number % len(service.speeds)]
        server = ModelServer(own.node, speed, self._kinds, self.events, rng)
        table = MemberTable(own)
        for member in self._members:
            if member.node != own.node:
                table.put(member)
        graph = CallGraph()
        levels = RouteLevels(graph)
        origins = RouteOrigins()
        releases = ActiveRelease(NativeDialect().decode_release, self.log, rng)
        releases.apply(HeldRelease(1, 1, self._text))
        levels.set_ranks(releases.routes.rank_count)
        gate = RoutedGate(
            HEADERS,
            None,
            self.events,
            graph,
            levels,
            origins,
            self.log,
            make_pool=lambda *settings: server,
        )
        gate.set_ranks(releases.routes.rank_count)
        gate.set_instance(
            InstanceReport(
                instance=own.node,
                born_ms=1,
                sequence=1,
                service=own.service,
                address=Address(host, 1),
                slots=own.slots,
                state=InstanceState.READY,
                warm_up_ms=0,
            )
        )
        links = ModelLinks(self, own.node)
        entry = RoutedEntry(
            LocalNode(own.node, own.service),
            HEADERS,
            releases,
            table,
            Router(table, own.zone, rng),
            gate,
            lambda: links,
            ServiceRetryBudget(RESEND_RATIO, RESEND_SLACK),
            graph,
            levels,
            origins,
            self.events,
            rng,
            self.log,
        )
        server.entry = entry
        node = ModelNode(own.node, own.zone, host, server, gate, entry)
        self.nodes[own.node] = self.by_host[host] = node


def play(scenario: Scenario) -> World:
    """Play a scenario in virtual time and return what became of it."""
    clock = VirtualClock()

    async def run() -> World:
        world = World(scenario, clock)
        world.play()
        return world

    return trio.run(run, clock=clock)
