"""Run a node: entry, gate, membership and active documents."""

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
from persimmonhall.call.gate_client import GateClient
from persimmonhall.call.retries import RetryLimiter
from persimmonhall.call.shutdown_window import ShutdownWindow
from persimmonhall.control.client import ControlClient
from persimmonhall.document.active import ActiveDocuments
from persimmonhall.document.fetcher import DocumentFetcher
from persimmonhall.errors import Refusal, problem_answer
from persimmonhall.http.messages import HttpAnswer
from persimmonhall.http.server import serve_http
from persimmonhall.http.server_connection import ServerLimits
from persimmonhall.ids import ServiceName
from persimmonhall.local_api import LocalApi
from persimmonhall.membership.backend_watch import BackendWatch
from persimmonhall.membership.gossip import Gossiper
from persimmonhall.membership.graceful_shutdown import GracefulShutdown
from persimmonhall.membership.initial_member import make_initial_member
from persimmonhall.membership.table import MemberTable
from persimmonhall.metrics import node_metrics_page
from persimmonhall.once.api import QuarantineApi
from persimmonhall.once.service import open_once_service
from persimmonhall.process_pauses import ProcessPauses
from persimmonhall.routing.retry_ledger import RetryLedger
from persimmonhall.routing.retry_tokens import RetryTokens
from persimmonhall.routing.router import Router
from persimmonhall.settings import NodeSettings
from persimmonhall.signals import wait_for_stop_signal
from persimmonhall.wire.answer_memory import AnswerMemory
from persimmonhall.wire.frames import Channel
from persimmonhall.wire.link import LinkPool
from persimmonhall.wire.link_server import serve_links

CLAIM_COMPLETION_TIMEOUT_S = 5.0


@dataclass(frozen=True)
class NodeAddresses:
    """Hold the addresses that a running node listens on."""

    callers: Address
    local: Address
    frames: Address


async def run_node(
    settings: NodeSettings, on_ready: Callable[[NodeAddresses], None]
) -> None:
    """Serve until a stop signal, then drain and finish the calls in flight."""
    async with trio.open_nursery() as nursery:
        await _run(settings, on_ready, nursery)
        nursery.cancel_scope.cancel()


async def _run(
    settings: NodeSettings,
    on_ready: Callable[[NodeAddresses], None],
    nursery: trio.Nursery,
) -> None:
    node_settings = settings.node
    rng = random.Random(node_settings.seed or None)
    links = LinkPool(nursery, node_settings.frames.host)
    documents = ActiveDocuments()
    table = MemberTable(
        make_initial_member(
            node_settings.name,
            node_settings.zone,
            node_settings.region,
            node_settings.frames,
        )
    )
    control = ControlClient(links, settings.peers.control)
    once = open_once_service(
        table, control, links, nursery, lambda: backend_watch.drop(), rng
    )
    self_limit = SelfLimit()
    process_pauses = ProcessPauses()

    def critical_rate_per_s(service: ServiceName) -> float:
        document = documents.get(service)
        rate = document.critical_per_second if document is not None else 0.0
        return critical_rate_per_server(rate, len(table.servers_of(service)))

    limits = settings.limits
    # Separate, so that incoming answers never wait for memory held by outgoing ones.
    gate_answers = AnswerMemory(limits.held_answers_bytes)
    entry_answers = AnswerMemory(limits.held_answers_bytes)
    gate = Gate(
        critical_rate_per_s,
        self_limit,
        once.runner,
        process_pauses=process_pauses,
        answer_memory=gate_answers,
        max_answer_bytes=limits.max_answer_bytes,
    )
    gossiper = Gossiper(table, links, settings.peers.seeds, rng)
    backend_watch = BackendWatch(gate, gossiper, process_pauses)
    router = Router(table, node_settings.zone, rng)
    tokens = RetryTokens(node_settings.name, RetryLedger(), table, links)
    gate_client = GateClient(node_settings.name, gate, links)
    retry_limiter = RetryLimiter(tokens)
    shutdown_window = ShutdownWindow()
    entry = Entry(
        node_settings.name,
        documents,
        router,
        retry_limiter,
        gate_client,
        rng,
        self_limit,
        gate.executions,
        once.quarantine,
        entry_answers,
        process_pauses,
        shutdown_window,
    )
    stop = trio.Event()
    quarantine_api = QuarantineApi(once.quarantine)
    local_api = LocalApi(
        entry,
        backend_watch,
        gossiper,
        table,
        documents,
        quarantine_api,
        lambda: node_metrics_page(
            gate.counters, gate.load, entry_answers, gate_answers
        ),
        stop.set,
        rng,
    )

    document_fetcher = DocumentFetcher(documents, control, gossiper, table, links, rng)
    handlers = {
        Channel.CALL: gate.handle,
        Channel.LEDGER: tokens.handle,
        Channel.MEMBERSHIP: gossiper.handle,
        Channel.DOCUMENT: document_fetcher.handle,
        Channel.ONCE: once.propagator.handle,
    }
    frames = await nursery.start(serve_links, handlers, node_settings.frames)
    gossiper.set_frames_address(frames, node_settings.advertise or frames)
    limits = ServerLimits(
        max_header_bytes=settings.limits.max_header_bytes,
        max_body_bytes=settings.limits.max_body_bytes,
    )

    def write_refusal(refusal: Refusal) -> HttpAnswer:
        return problem_answer(refusal, rng)

    shutdown = GracefulShutdown(
        gate, gossiper, node_settings.drain_seconds, shutdown_window
    )

    async def serve(handler, address, closing, task_status=trio.TASK_STATUS_IGNORED):
        await serve_http(
            handler,
            address,
            closing,
            write_refusal=write_refusal,
            limits=limits,
            draining=shutdown.drain_started,
            task_status=task_status,
        )

    async with trio.open_nursery() as local_serving:
        local = await local_serving.start(
            serve, local_api.handle, node_settings.local, shutdown.closing_local
        )
        async with trio.open_nursery() as serving:
            callers = await serving.start(
                serve, entry.handle, node_settings.callers, shutdown.closing_callers
            )
            nursery.start_soon(gossiper.run)
            nursery.start_soon(backend_watch.run)
            nursery.start_soon(once.propagator.run)
            nursery.start_soon(gate.run_queue_timer)
            nursery.start_soon(monitor_event_loop, self_limit, process_pauses)
            nursery.start_soon(document_fetcher.run)
            nursery.start_soon(wait_for_stop_signal, stop)
            on_ready(NodeAddresses(callers, local, frames))
            await stop.wait()
            logging.info("leaving node=%s", node_settings.name)
            await shutdown.drain_calls(serving.cancel_scope)
        await shutdown.close_local(local_serving.cancel_scope)
    await once.completer.wait_idle(CLAIM_COMPLETION_TIMEOUT_S)
    logging.info("left node=%s", node_settings.name)
