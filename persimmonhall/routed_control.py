"""Run a control VM that reloads its settings while it runs."""

import trio
from returns.result import Failure, Result, Success

from persimmonhall.control.run import run_control
from persimmonhall.control.serve_releases import ReleaseComponents
from persimmonhall.dialect import Dialect
from persimmonhall.events import Event, EventLog
from persimmonhall.logs import route_logs_to_events
from persimmonhall.reload import SettingsSource, changed_fields, watch_settings
from persimmonhall.settings import ControlSettings

# Settings that bind when the file is read again; the others bind at the next start.
RELOADED_FIELDS = frozenset({"control.peers", "control.frames_port"})


async def run_routed_control(
    source: SettingsSource[ControlSettings], dialect: Dialect
) -> Result[None, str]:
    """Serve until a stop signal; return a one-line error if the start fails."""
    match source.load():
        case Failure(reason):
            return Failure(reason)
        case Success(settings):
            pass
    log = EventLog(settings.control.name)
    route_logs_to_events(log)
    components = ReleaseComponents(dialect, log)

    def apply_settings(changed: ControlSettings) -> list[str]:
        nonlocal settings
        previous, settings = settings, changed
        components.update_peers(changed.control.peers)
        names = changed_fields(previous, changed)
        return [name for name in names if name not in RELOADED_FIELDS]

    async with trio.open_nursery() as nursery:
        nursery.start_soon(watch_settings, source, apply_settings, log)
        result = await run_control(settings, lambda _: None, releases=components)
        log.emit(Event.STOPPED)
        log.flush()
        nursery.cancel_scope.cancel()
    return result
