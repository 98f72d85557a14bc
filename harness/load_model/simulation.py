"""Build the nodes, servers and callers of a scenario and simulate them."""

import os
import random
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

import trio

from harness.load_model.callers import MODEL_KEY, Callers
from harness.load_model.clock import EventQueue, VirtualClock
from harness.load_model.scenario import Disturbance, Scenario, Service
from harness.load_model.servers import HEADERS, ModelServer, route_host
from persimmonhall.address import Address
from persimmonhall.admission.level import STEP_INTERVAL_S
from persimmonhall.call.call_dispatcher import LocalNode
from persimmonhall.call.entry_factory import EntryParts, make_routed_entry
from persimmonhall.call.routed_entry import RoutedEntry
from persimmonhall.call.routed_gate import RoutedGate
from persimmonhall.dialect import InstanceReport, InstanceState, NativeDialect
from persimmonhall.errors import ErrorKind
from persimmonhall.events import EventLog
from persimmonhall.membership.messages import Member, MemberState
from persimmonhall.membership.table import MemberTable
from persimmonhall.release.active import ActiveRelease
from persimmonhall.release.messages import HeldRelease
from persimmonhall.release.schema import (
    CallerLimits,
    Organisation,
    Release,
    ReleasedService,
    Route,
    RouteKind,
    WeightedService,
)
from persimmonhall.release.tests.builders import encode_release
from persimmonhall.routing.level_sharing import (
    REPORT_FANOUT,
    REPORT_INTERVAL_S,
    LevelSharing,
)
from persimmonhall.routing.route_knowledge import make_route_knowledge
from persimmonhall.routing.router import Router
from persimmonhall.routing.service_retry_budget import ServiceRetryBudget

WITHIN_ZONE_DELAY_S = 0.0002
FRAMES_PORT = 7000
DRAIN_TIME_S = 8.0
RETRY_BUDGET_RATIO = 0.2
RETRY_BUDGET_SLACK = 48.0


@dataclass
class ModelNode:
    """Store one node and its local backend server."""

    name: str
    zone: str
    host: str
    server: ModelServer
    gate: RoutedGate
    entry: RoutedEntry
    sharing: LevelSharing


class ModelLinks:
    """Deliver calls from one node to the gates of others with network delay."""

    def __init__(self, simulation: "LoadSimulation", local_node: str):
        self._simulation = simulation
        self._local_node = local_node

    def send(self, address: Address, call) -> None:
        """Deliver a call to the target gate and its reply back to this node."""
        target = self._simulation.by_host[address.host]
        delay_s = self._simulation.delay_s(self._local_node, target.name)
        events = self._simulation.events

        def reply(answer) -> None:
            entry = self._simulation.nodes[self._local_node].entry
            events.after(delay_s, partial(entry.handle_reply, answer))

        events.after(delay_s, partial(target.gate.begin, self._local_node, call, reply))

    def cancel(self, address: Address, number) -> None:
        """Cancel a call at the target gate."""
        target = self._simulation.by_host[address.host]
        delay_s = self._simulation.delay_s(self._local_node, target.name)
        self._simulation.events.after(
            delay_s, partial(target.gate.cancel, self._local_node, number)
        )


class LoadSimulation:
    """Simulate one scenario."""

    def __init__(self, scenario: Scenario, clock: VirtualClock):
        self.scenario = scenario
        self.events = EventQueue(clock)
        self.rng = random.Random(scenario.seed)
        self.nodes: dict[str, ModelNode] = {}
        self.by_host: dict[str, ModelNode] = {}
        self.log = EventLog("model", os.open(os.devnull, os.O_WRONLY))
        self.used_by_refusals: dict[str, float] = defaultdict(float)
        self.refusals = 0
        self._kinds = {kind.name: kind for kind in scenario.kinds}
        self._members = self._make_members()
        self._release_text = encode_release(self._make_release())
        for member in self._members:
            self._add_node(member)
        entries_by_zone: dict[str, list[RoutedEntry]] = {}
        for node in self.nodes.values():
            entries_by_zone.setdefault(node.zone, []).append(node.entry)
        entries = list(entries_by_zone.values())
        self.callers = Callers(scenario, entries, self.events, self.rng)

    def delay_s(self, one: str, other: str) -> float:
        """Return the one-way delay between two nodes in seconds."""
        if self.nodes[one].zone == self.nodes[other].zone:
            return WITHIN_ZONE_DELAY_S
        return self.scenario.between_zones_ms / 1000

    def run(self) -> None:
        """Run the scenario, then let requests in flight finish."""
        self.callers.start()
        self._step_gates()
        if self.scenario.shares_levels:
            for node in self.nodes.values():
                delay_s = REPORT_INTERVAL_S * self.rng.random()
                self.events.after(delay_s, partial(self._share_levels, node))
        for service in self.scenario.services:
            if service.noise_share:
                self._draw_noise(service)
        for disturbance in self.scenario.disturbances:
            if disturbance.slow_service:
                self._schedule_slowdown(disturbance)
            if disturbance.shed_service:
                self._schedule_shedding(disturbance)
        self.events.run_until(self.scenario.length_s + DRAIN_TIME_S)

    def _servers_of(self, service: str) -> list[ModelServer]:
        return [
            node.server
            for node in self.nodes.values()
            if node.gate.instance.service == service
        ]

    def _draw_noise(self, service: Service) -> None:
        for server in self._servers_of(service.name):
            is_slow = self.rng.random() < service.noise_share
            server.noise_times = service.noise_times if is_slow else 1.0
        self.events.after(service.noise_period_s, partial(self._draw_noise, service))

    def _schedule_shedding(self, disturbance: Disturbance) -> None:
        def change(fraction: float) -> None:
            for server in self._servers_of(disturbance.shed_service):
                server.rejected_fraction = fraction

        self._schedule_change(disturbance, change, disturbance.shed_share, 0.0)

    def _schedule_slowdown(self, disturbance: Disturbance) -> None:
        servers = self._servers_of(disturbance.slow_service)
        servers = servers[: disturbance.slow_servers]

        def change(factor: float) -> None:
            for server in servers:
                server.slow_times = factor

        self._schedule_change(disturbance, change, disturbance.slow_times, 1.0)

    def _schedule_change(
        self,
        disturbance: Disturbance,
        change: Callable[[float], None],
        value: float,
        normal: float,
    ) -> None:
        """Set a value during a disturbance and restore it afterwards."""
        end_s = disturbance.at_s + disturbance.for_s
        self.events.call_at(disturbance.at_s, partial(change, value))
        self.events.call_at(end_s, partial(change, normal))

    def used_while_refusing(self) -> float:
        """Return the fraction of slots in use at refusals, of the busiest service."""
        used = max(self.used_by_refusals.values(), default=0.0)
        return used / max(1, self.refusals)

    def _record_used_slots(self) -> None:
        """Add the slots in use now, weighted by the refusals of the last step."""
        nodes = self.nodes.values()
        kind = ErrorKind.OVERLOADED.value
        refusals = sum(node.entry.counts.outcomes[kind] for node in nodes)
        new_refusals = refusals - self.refusals
        self.refusals = refusals
        for service in self.scenario.services if new_refusals else ():
            gates = [n.gate for n in nodes if n.gate.instance.service == service.name]
            used = sum(g.in_flight for g in gates) / sum(g.limit for g in gates)
            self.used_by_refusals[service.name] += new_refusals * used

    def _step_gates(self) -> None:
        self._record_used_slots()
        for node in self.nodes.values():
            node.gate.step(self.events.now, STEP_INTERVAL_S)
        self.log._buffered_lines.clear()
        self.events.after(STEP_INTERVAL_S, self._step_gates)

    def _share_levels(self, node: ModelNode) -> None:
        self.events.after(REPORT_INTERVAL_S, partial(self._share_levels, node))
        now = self.events.now
        report = node.sharing.make_report(node.gate.own_levels(now), now)
        if not report:
            return
        zone = [n for n in self.nodes.values() if n.zone == node.zone and n is not node]
        for peer in self.rng.sample(zone, min(REPORT_FANOUT, len(zone))):
            self.events.after(
                WITHIN_ZONE_DELAY_S,
                lambda peer=peer: peer.sharing.merge_report(report, self.events.now),
            )

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

    def _make_release(self) -> Release:
        routes = tuple(
            Route(
                name=kind.name,
                host=route_host(kind.name),
                path_prefix="/",
                kind=RouteKind.IDEMPOTENT
                if kind.may_repeat
                else RouteKind.NON_IDEMPOTENT,
                timeout_ms=kind.timeout_ms or kind.deadline_ms,
                latency_objective_ms=kind.objective_ms,
                priority=kind.priority,
                targets=(WeightedService(kind.service, 1),),
                max_servers=2,
                is_public=self.scenario.has_organisation and not kind.per_s,
            )
            for kind in self.scenario.kinds
        )
        services = tuple(ReleasedService(s.name, 1000) for s in self.scenario.services)
        organisations = ()
        if self.scenario.has_organisation:
            organisations = (Organisation("callers", (MODEL_KEY,)),)
        return Release(1, 0, routes, services, CallerLimits(), organisations)

    def _add_node(self, member: Member) -> None:
        host = member.frames.partition(":")[0]
        rng = random.Random(self.rng.random())
        service = next(s for s in self.scenario.services if s.name == member.service)
        number = int(member.node.rpartition("-")[2])
        speed = service.speeds[number % len(service.speeds)]
        server = ModelServer(member.node, speed, self._kinds, self.events, rng)
        table = MemberTable(member)
        for other in self._members:
            if other.node != member.node:
                table.put(other)
        knowledge = make_route_knowledge()
        levels = knowledge.levels
        releases = ActiveRelease(NativeDialect().decode_release, self.log, rng)
        releases.apply(HeldRelease(1, 1, self._release_text))
        levels.set_ranks(releases.routes.rank_count)
        gate = RoutedGate(
            HEADERS,
            None,
            self.events,
            knowledge,
            self.log,
            make_pool=lambda *settings: server,
        )
        gate.set_ranks(releases.routes.rank_count)
        gate.set_instance(
            InstanceReport(
                instance=member.node,
                born_ms=1,
                sequence=1,
                service=member.service,
                address=Address(host, 1),
                slots=member.slots,
                state=InstanceState.READY,
                warm_up_ms=0,
            )
        )
        links = ModelLinks(self, member.node)
        entry = make_routed_entry(
            EntryParts(
                local=LocalNode(member.node, member.service),
                headers=HEADERS,
                releases=releases,
                table=table,
                router=Router(table, member.zone, rng),
                gate=gate,
                links=lambda: links,
                retry_budget=ServiceRetryBudget(RETRY_BUDGET_RATIO, RETRY_BUDGET_SLACK),
                knowledge=knowledge,
                timers=self.events,
                rng=rng,
                log=self.log,
            )
        )
        server.entry = entry
        sharing = LevelSharing(levels)
        sharing.set_routes(self._kinds)
        node = ModelNode(member.node, member.zone, host, server, gate, entry, sharing)
        self.nodes[member.node] = self.by_host[host] = node


def run_scenario(scenario: Scenario) -> LoadSimulation:
    """Simulate a scenario in virtual time and return its final state."""
    clock = VirtualClock()

    async def run() -> LoadSimulation:
        simulation = LoadSimulation(scenario, clock)
        simulation.run()
        return simulation

    return trio.run(run, clock=clock)
