"""Run a control VM whose settings may change while it runs."""

import trio
from returns.result import Failure, Result, Success

from persimmonhall.control.run import run_control
from persimmonhall.control.serve_releases import ReleaseComponents
from persimmonhall.dialect import Dialect
from persimmonhall.events import Event, EventLog
from persimmonhall.logs import log_to_events
from persimmonhall.reload import SettingsSource, watch_settings
from persimmonhall.settings import ControlSettings


async def run_routed_control(
    source: SettingsSource[ControlSettings], dialect: Dialect
) -> Result[None, str]:
    """Serve until a stop signal."""
    match source.load():
        case Failure(reason):
            return Failure(reason)
        case Success(settings):
            pass
    log = EventLog(settings.control.name)
    log_to_events(log)
    parts = ReleaseComponents(dialect, log)

    def take(changed: ControlSettings) -> None:
        parts.update_peers(changed.control.peers)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(watch_settings, source, take, log)
        result = await run_control(settings, lambda _: None, releases=parts)
        log.emit(Event.STOPPED)
        log.flush()
        nursery.cancel_scope.cancel()
    return result
