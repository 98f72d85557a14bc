"""Run the process of a control VM."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import trio
from absl import logging
from returns.result import Failure, Result, Success

from persimmonhall.address import Address
from persimmonhall.control.admin import AdminApi
from persimmonhall.control.bootstrap import make_initial_state, new_disk_id
from persimmonhall.control.control_service import ControlService
from persimmonhall.control.joining import Joiner, find_cluster
from persimmonhall.control.peer_service import PeerService
from persimmonhall.control.peers import Peers
from persimmonhall.control.replica import Replica
from persimmonhall.control.serve_releases import ReleaseComponents, serve_releases
from persimmonhall.control.voter_replacement import ReplacedVoterRemover
from persimmonhall.dialect import NativeDialect
from persimmonhall.events import EventLog
from persimmonhall.http.asgi import serve_asgi
from persimmonhall.ids import ReplicaId
from persimmonhall.once.log_clock import run_log_clock
from persimmonhall.raft.core import RaftCore
from persimmonhall.raft.driver import DISK_FULL_RETRY_S
from persimmonhall.raft.state import PersistedState
from persimmonhall.raft.storage import (
    DiskFailedError,
    NoSpaceError,
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
    """Hold the addresses that a control process listens on."""

    admin: Address | None
    frames: Address
    releases: Address | None = None


class DeferredHandler:
    """Hold back requests until the replica that handles them exists."""

    def __init__(self):
        self._ready = trio.Event()
        self._handler = None

    def set_handler(self, handler) -> None:
        """Set the handler and release waiting requests."""
        self._handler = handler
        self._ready.set()

    async def handle(self, payload: bytes) -> bytes:
        """Handle one request."""
        await self._ready.wait()
        return await self._handler(payload)


async def run_control(
    settings: ControlSettings,
    on_ready: Callable[[ControlAddresses], None],
    *,
    bootstrap: bool = False,
    releases: ReleaseComponents | None = None,
) -> Result[None, str]:
    """Serve until a stop signal."""
    result: Result[None, str] = Success(None)
    try:
        result = await _run(settings, on_ready, bootstrap, releases)
    except* DiskFailedError as group:
        result = Failure(f"storage failed: {_first_exception(group)}")
    return result


def _first_exception(error: BaseException) -> BaseException:
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


async def _run(
    settings: ControlSettings,
    on_ready: Callable[[ControlAddresses], None],
    bootstrap: bool,
    releases: ReleaseComponents | None,
) -> Result[None, str]:
    control_settings = settings.control
    node_handler, peer_handler = DeferredHandler(), DeferredHandler()
    handlers = {
        Channel.CONTROL: node_handler.handle,
        Channel.REPLICA: peer_handler.handle,
    }
    async with trio.open_nursery() as nursery:
        links = LinkPool(nursery)
        if releases is not None:
            handlers[Channel.MEMBERSHIP] = releases.join_membership(
                control_settings, links
            )
        frames = await nursery.start(serve_links, handlers, control_settings.frames)
        address = control_settings.advertise or frames
        peers = Peers(nursery, links, address)
        match await _open_data_folder(control_settings, peers, address, bootstrap):
            case Failure() as failure:
                nursery.cancel_scope.cancel()
                return failure
            case Success(opened):
                pass
        rng = random.Random(control_settings.seed or None)
        core = RaftCore(opened.disk_id, opened.stored, rng, trio.current_time())
        replica = Replica(
            core, opened.storage, peers, control_settings.snapshot_entries
        )
        service = ControlService(replica)
        node_handler.set_handler(service.handle)
        peer_handler.set_handler(PeerService(replica).handle)
        nursery.start_soon(replica.run)
        nursery.start_soon(service.run)
        nursery.start_soon(run_log_clock, replica.submit_locally)
        joiner = Joiner(
            replica,
            control_settings.name,
            address,
            control_settings.peers,
            rejoins=control_settings.retire_replaced,
        )
        nursery.start_soon(joiner.run)
        if control_settings.retire_replaced:
            nursery.start_soon(ReplacedVoterRemover(core, replica.driver).run)
        release_address = None
        if releases is not None:
            release_address = await serve_releases(
                releases, control_settings, replica, nursery
            )
        await _serve_until_stopped(
            settings, replica, service, releases, frames, release_address, on_ready
        )
        nursery.cancel_scope.cancel()
    opened.storage.close()
    return Success(None)


async def _serve_until_stopped(
    settings: ControlSettings,
    replica: Replica,
    service: ControlService,
    components: ReleaseComponents | None,
    frames: Address,
    release_address: Address | None,
    on_ready: Callable[[ControlAddresses], None],
) -> None:
    stop_requested, stop = trio.Event(), trio.Event()
    control_settings = settings.control
    admin_address = None
    async with trio.open_nursery() as nursery:
        nursery.start_soon(wait_for_stop_signal, stop_requested)
        async with trio.open_nursery() as serving:
            if control_settings.admin is not None:
                log = EventLog(control_settings.name)
                nursery.start_soon(log.run)
                releases = ReleaseApi(
                    replica, NativeDialect(), len(control_settings.peers), log
                )
                admin = AdminApi(replica, settings.teams, releases)
                admin_address = await serving.start(
                    serve_asgi, admin.handle, control_settings.admin, stop
                )
            on_ready(ControlAddresses(admin_address, frames, release_address))
            await stop_requested.wait()
            await replica.transfer_leadership()
            if components is not None:
                await components.drain()
            await service.drain()
            stop.set()
        nursery.cancel_scope.cancel()


async def _open_data_folder(
    control_settings: ControlSection, peers: Peers, address: Address, bootstrap: bool
) -> Result[OpenedStorage, str]:
    folder = Path(control_settings.data_folder)
    disk_id = new_disk_id(control_settings.name)
    if (
        control_settings.found
        and is_data_folder_empty(folder)
        and address == min(control_settings.peers, default=address)
    ):
        # All initial control VMs have the same peer list, so only the one with the
        # lowest address creates the cluster.
        others = tuple(peer for peer in control_settings.peers if peer != address)
        if not await find_cluster(peers, others):
            logging.info("cluster founded by=%s disk=%s", address, disk_id)
            initial_state = make_initial_state(disk_id, control_settings.name, address)
            return await _open_storage(folder, disk_id, initial_state)
    if not bootstrap:
        if is_data_folder_empty(folder) and not control_settings.peers:
            return Failure(f"{folder}: empty; use --bootstrap or set control.peers")
        return await _open_storage(folder, disk_id, PersistedState())
    if not is_data_folder_empty(folder):
        return Failure(f"{folder}: --bootstrap needs an empty data folder")
    cluster = await find_cluster(peers, control_settings.peers)
    if cluster:
        return Failure(f"--bootstrap: a peer belongs to cluster {cluster} already")
    return await _open_storage(
        folder, disk_id, make_initial_state(disk_id, control_settings.name, address)
    )


async def _open_storage(
    folder: Path, disk_id: ReplicaId, initial_state: PersistedState
) -> Result[OpenedStorage, str]:
    """Open a data folder; wait while there is no room to initialize it."""
    was_full = False
    while True:
        try:
            return open_storage(folder, disk_id, initial_state)
        except NoSpaceError as error:
            if not was_full:
                logging.error("storage full, the start waits: %s", error)
            was_full = True
        await trio.sleep(DISK_FULL_RETRY_S)
