"""Run async functions in one trio event loop from synchronous test steps."""

import threading
from collections.abc import Callable
from contextlib import contextmanager
from queue import Queue

import trio

from harness.system import open_system


class Portal:
    """Call into an event loop that runs in a separate thread."""

    def __init__(self, token: trio.lowlevel.TrioToken):
        self._token = token

    def run(self, function: Callable, *args):
        """Run an async function in the event loop and return its result."""
        return trio.from_thread.run(function, *args, trio_token=self._token)


@contextmanager
def open_portal(open_resource: Callable):
    """Enter an async context manager in an event loop; yield portal and resource."""
    started: Queue = Queue()
    stop = trio.Event()

    async def main() -> None:
        async with open_resource() as resource:
            started.put((Portal(trio.lowlevel.current_trio_token()), resource))
            await stop.wait()

    def run() -> None:
        try:
            trio.run(main)
        except BaseException as error:
            started.put(error)
            raise

    thread = threading.Thread(target=run)
    thread.start()
    opened = started.get()
    if isinstance(opened, BaseException):
        thread.join()
        raise opened
    portal, resource = opened
    try:
        yield portal, resource
    finally:
        trio.from_thread.run_sync(stop.set, trio_token=portal._token)
        thread.join()


@contextmanager
def open_running_system(start: Callable):
    """Start a system in a separate event loop; yield a portal and the system."""
    with open_portal(open_system) as (portal, system):
        portal.run(start, system)
        yield portal, system
