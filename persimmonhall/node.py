"""Run a node: entry, gate, membership and documents in force."""

import random
from collections.abc import Callable
from dataclasses import dataclass

import trio
from absl import logging

from persimmonhall.address import Address
from persimmonhall.admission.critical_budget import critical_rate_per_server
from persimmonhall.admission.event_loop_monitor import monitor_event_loop
from persimmonhall.admission.self_limit import SelfLimit
from persimmonhall.call.entry import Entry
from persimmonhall.call.gate import Gate
from persimmonhall.call.gates import Gates
from persimmonhall.call.retries import Retries
from persimmonhall.control.client import ControlClient
from persimmonhall.document.follow import DocumentFollower
from persimmonhall.document.in_force import DocumentsInForce
from persimmonhall.errors import Refusal, problem_answer
from persimmonhall.http.connection import ServerLimits
from persimmonhall.http.messages import HttpAnswer
from persimmonhall.http.server import serve_http
from persimmonhall.ids import ServiceName
from persimmonhall.local_api import LocalApi
from persimmonhall.membership.announce import BackendWatch
from persimmonhall.membership.gossip import Gossiper
from persimmonhall.membership.leave import Leaving
from persimmonhall.membership.own import first_record
from persimmonhall.membership.table import MemberTable
from persimmonhall.metrics import node_page
from persimmonhall.once.api import QuarantineApi
from persimmonhall.once.service import open_once_service
from persimmonhall.routing.retry_ledger import RetryLedger
from persimmonhall.routing.retry_tokens import RetryTokens
from persimmonhall.routing.router import Router
from persimmonhall.settings import NodeSettings
from persimmonhall.signals import wait_for_stop_signal
from persimmonhall.stalls import Stalls
from persimmonhall.wire.answer_memory import AnswerMemory
from persimmonhall.wire.frames import Channel
from persimmonhall.wire.link import LinkPool
from persimmonhall.wire.link_server import serve_links

SETTLE_S = 5.0


@dataclass(frozen=True)
class NodeAddresses:
    """Name the addresses a running node listens on."""

    callers: Address
    local: Address
    frames: Address


async def run_node(
    settings: NodeSettings, on_ready: Callable[[NodeAddresses], None]
) -> None:
    """Serve until a stop signal, then leave and finish what is in flight."""
    async with trio.open_nursery() as nursery:
        await _run(settings, on_ready, nursery)
        nursery.cancel_scope.cancel()


async def _run(
    settings: NodeSettings,
    on_ready: Callable[[NodeAddresses], None],
    nursery: trio.Nursery,
) -> None:
    own = settings.node
    rng = random.Random(own.seed or None)
    links = LinkPool(nursery, own.frames.host)
    documents = DocumentsInForce()
    table = MemberTable(first_record(own.name, own.zone, own.region, own.frames))
    control = ControlClient(links, settings.peers.control)
    once = open_once_service(table, control, links, nursery, lambda: watch.drop(), rng)
    self_limit = SelfLimit()
    stalls = Stalls()

    def critical_share(service: ServiceName) -> float:
        document = documents.get(service)
        rate = document.critical_per_second if document is not None else 0.0
        return critical_rate_per_server(rate, len(table.servers_of(service)))

    limits = settings.limits
    # Apart, so that answers on their way in never wait for answers on their way out.
    gate_answers = AnswerMemory(limits.held_answers_bytes)
    entry_answers = AnswerMemory(limits.held_answers_bytes)
    gate = Gate(
        critical_share,
        self_limit,
        once.runner,
        stalls=stalls,
        answers=gate_answers,
        max_answer_bytes=limits.max_answer_bytes,
    )
    gossiper = Gossiper(table, links, settings.peers.seeds, rng)
    watch = BackendWatch(gate, gossiper, stalls)
    router = Router(table, own.zone, rng)
    tokens = RetryTokens(own.name, RetryLedger(), table, links)
    gates = Gates(own.name, gate, links)
    retries = Retries(tokens)
    entry = Entry(
        own.name,
        documents,
        router,
        retries,
        gates,
        rng,
        self_limit,
        gate.executions,
        once.quarantine,
        entry_answers,
        stalls,
    )
    stop = trio.Event()
    quarantine_api = QuarantineApi(once.quarantine)
    local_api = LocalApi(
        entry,
        watch,
        gossiper,
        table,
        documents,
        quarantine_api,
        lambda: node_page(gate.counters, gate.load, entry_answers, gate_answers),
        stop.set,
        rng,
    )

    follower = DocumentFollower(documents, control, gossiper, table, links, rng)
    handlers = {
        Channel.CALL: gate.handle,
        Channel.LEDGER: tokens.handle,
        Channel.MEMBERSHIP: gossiper.handle,
        Channel.DOCUMENT: follower.handle,
        Channel.ONCE: once.propagator.handle,
    }
    frames = await nursery.start(serve_links, handlers, own.frames)
    gossiper.set_frames(frames, own.advertise or frames)
    limits = ServerLimits(
        max_header_bytes=settings.limits.max_header_bytes,
        max_body_bytes=settings.limits.max_body_bytes,
    )

    def write_refusal(refusal: Refusal) -> HttpAnswer:
        return problem_answer(refusal, rng)

    leaving = Leaving(gate, gossiper, own.drain_seconds)

    async def serve(handler, address, closing, task_status=trio.TASK_STATUS_IGNORED):
        await serve_http(
            handler,
            address,
            closing,
            write_refusal=write_refusal,
            limits=limits,
            draining=leaving.begun,
            task_status=task_status,
        )

    async with trio.open_nursery() as local_serving:
        local = await local_serving.start(
            serve, local_api.handle, own.local, leaving.closing_local
        )
        async with trio.open_nursery() as serving:
            callers = await serving.start(
                serve, entry.handle, own.callers, leaving.closing_callers
            )
            nursery.start_soon(gossiper.run)
            nursery.start_soon(watch.run)
            nursery.start_soon(once.propagator.run)
            nursery.start_soon(gate.keep_time)
            nursery.start_soon(monitor_event_loop, self_limit, stalls)
            nursery.start_soon(follower.run)
            nursery.start_soon(wait_for_stop_signal, stop)
            on_ready(NodeAddresses(callers, local, frames))
            await stop.wait()
            logging.info("leaving node=%s", own.name)
            await leaving.finish_calls(serving.cancel_scope)
        await leaving.finish_local(local_serving.cancel_scope)
    await once.completer.wait_idle(SETTLE_S)
    logging.info("left node=%s", own.name)
