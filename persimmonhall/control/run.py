"""Run a control VM's process."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import trio
from absl import logging
from returns.result import Failure, Result, Success

from persimmonhall.address import Address
from persimmonhall.control.admin import AdminApi
from persimmonhall.control.bootstrap import first_state, new_disk_id
from persimmonhall.control.joining import Joiner, find_cluster
from persimmonhall.control.peers import Peers
from persimmonhall.control.replica import Replica
from persimmonhall.control.retiring import Retiring
from persimmonhall.control.serve import ControlService
from persimmonhall.control.serve_peers import PeerService
from persimmonhall.control.serve_releases import ReleaseParts, serve_releases
from persimmonhall.dialect import OwnDialect
from persimmonhall.events import EventLog
from persimmonhall.http.asgi import serve_asgi
from persimmonhall.once.log_clock import run_log_clock
from persimmonhall.raft.core import RaftCore
from persimmonhall.raft.state import PersistedState
from persimmonhall.raft.storage import (
    DiskFailedError,
    OpenedStorage,
    is_data_folder_empty,
    open_storage,
)
from persimmonhall.release.api import ReleaseApi
from persimmonhall.settings import ControlSection, ControlSettings
from persimmonhall.signals import wait_for_stop_signal
from persimmonhall.wire.frames import Channel
from persimmonhall.wire.link import LinkPool
from persimmonhall.wire.link_server import serve_links


@dataclass(frozen=True)
class ControlAddresses:
    """Name the addresses a running control process listens on."""

    admin: Address | None
    frames: Address
    releases: Address | None = None


class LateHandler:
    """Pass asks on once the replica that answers them exists."""

    def __init__(self):
        self._ready = trio.Event()
        self._handle = None

    def start(self, handle) -> None:
        """Name the handler."""
        self._handle = handle
        self._ready.set()

    async def handle(self, payload: bytes) -> bytes:
        """Answer one ask."""
        await self._ready.wait()
        return await self._handle(payload)


async def run_control(
    settings: ControlSettings,
    on_ready: Callable[[ControlAddresses], None],
    *,
    bootstrap: bool = False,
    releases: ReleaseParts | None = None,
) -> Result[None, str]:
    """Serve until a stop signal."""
    result: Result[None, str] = Success(None)
    try:
        result = await _run(settings, on_ready, bootstrap, releases)
    except* DiskFailedError as group:
        result = Failure(f"storage failed: {_first_of(group)}")
    return result


def _first_of(error: BaseException) -> BaseException:
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


async def _run(
    settings: ControlSettings,
    on_ready: Callable[[ControlAddresses], None],
    bootstrap: bool,
    releases: ReleaseParts | None,
) -> Result[None, str]:
    own = settings.control
    nodes, replicas = LateHandler(), LateHandler()
    handlers = {Channel.CONTROL: nodes.handle, Channel.REPLICA: replicas.handle}
    async with trio.open_nursery() as nursery:
        links = LinkPool(nursery)
        if releases is not None:
            handlers[Channel.MEMBERSHIP] = releases.join_members(own, links)
        frames = await nursery.start(serve_links, handlers, own.frames)
        address = own.advertise or frames
        peers = Peers(nursery, links, address)
        match await _open(own, peers, address, bootstrap):
            case Failure() as failure:
                nursery.cancel_scope.cancel()
                return failure
            case Success(opened):
                pass
        rng = random.Random(own.seed or None)
        core = RaftCore(opened.disk_id, opened.stored, rng, trio.current_time())
        replica = Replica(core, opened.storage, peers, own.snapshot_entries)
        service = ControlService(replica)
        nodes.start(service.handle)
        replicas.start(PeerService(replica).handle)
        nursery.start_soon(replica.run)
        nursery.start_soon(service.run)
        nursery.start_soon(run_log_clock, replica.submit_here)
        nursery.start_soon(Joiner(replica, own.name, address, own.peers).run)
        if own.retire_replaced:
            nursery.start_soon(Retiring(core, replica.driver).run)
        api = None
        if releases is not None:
            api = await serve_releases(releases, own, replica, nursery)
        await _serve(settings, replica, service, frames, api, on_ready)
        nursery.cancel_scope.cancel()
    opened.storage.close()
    return Success(None)


async def _serve(
    settings: ControlSettings,
    replica: Replica,
    service: ControlService,
    frames: Address,
    api: Address | None,
    on_ready: Callable[[ControlAddresses], None],
) -> None:
    signalled, stop = trio.Event(), trio.Event()
    own = settings.control
    address = None
    async with trio.open_nursery() as nursery:
        nursery.start_soon(wait_for_stop_signal, signalled)
        async with trio.open_nursery() as serving:
            if own.admin is not None:
                log = EventLog(own.name)
                nursery.start_soon(log.run)
                releases = ReleaseApi(replica, OwnDialect(), len(own.peers), log)
                admin = AdminApi(replica, settings.teams, releases)
                address = await serving.start(serve_asgi, admin.handle, own.admin, stop)
            on_ready(ControlAddresses(address, frames, api))
            await signalled.wait()
            await replica.leave()
            await service.finish()
            stop.set()
        nursery.cancel_scope.cancel()


async def _open(
    own: ControlSection, peers: Peers, address: Address, bootstrap: bool
) -> Result[OpenedStorage, str]:
    folder = Path(own.data_folder)
    disk_id = new_disk_id(own.name)
    if (
        own.found
        and is_data_folder_empty(folder)
        and address == min(own.peers, default=address)
    ):
        # All founders know the same addresses, so that only one of them founds.
        others = tuple(peer for peer in own.peers if peer != address)
        if not await find_cluster(peers, others):
            logging.info("cluster founded by=%s disk=%s", address, disk_id)
            first = first_state(disk_id, own.name, address)
            return open_storage(folder, disk_id, first)
    if not bootstrap:
        if is_data_folder_empty(folder) and not own.peers:
            return Failure(f"{folder}: empty; give --bootstrap or control.peers")
        return open_storage(folder, disk_id, PersistedState())
    if not is_data_folder_empty(folder):
        return Failure(f"{folder}: --bootstrap needs an empty data folder")
    cluster = await find_cluster(peers, own.peers)
    if cluster:
        return Failure(f"--bootstrap: a peer belongs to cluster {cluster} already")
    return open_storage(folder, disk_id, first_state(disk_id, own.name, address))
