"""Run a control VM's process."""

from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import trio
from returns.result import Failure, Result, Success

from persimmonhall.address import Address
from persimmonhall.control.admin import AdminApi
from persimmonhall.control.replica import Replica
from persimmonhall.control.serve import ControlService
from persimmonhall.control.storage import open_log
from persimmonhall.http.asgi import serve_asgi
from persimmonhall.once.log_clock import run_log_clock
from persimmonhall.settings import ControlSettings
from persimmonhall.signals import wait_for_stop_signal
from persimmonhall.wire.frames import Channel
from persimmonhall.wire.link import serve_links


@dataclass(frozen=True)
class ControlAddresses:
    """Name the addresses a running control process listens on."""

    admin: Address
    frames: Address


async def run_control(
    settings: ControlSettings, on_ready: Callable[[ControlAddresses], None]
) -> Result[None, str]:
    """Serve until a stop signal."""
    own = settings.control
    match open_log(Path(own.data_folder)):
        case Failure() as failure:
            return failure
        case Success((log, records)):
            replica = Replica(log, records)
    stop = trio.Event()
    handlers = {Channel.CONTROL: ControlService(replica).handle}
    admin = AdminApi(replica, settings.teams)
    async with trio.open_nursery() as nursery:
        frames = await nursery.start(serve_links, handlers, own.frames)
        nursery.start_soon(wait_for_stop_signal, stop)
        nursery.start_soon(run_log_clock, replica.submit)
        async with trio.open_nursery() as serving:
            address = await serving.start(serve_asgi, admin.handle, own.admin, stop)
            on_ready(ControlAddresses(address, frames))
        nursery.cancel_scope.cancel()
    return Success(None)
