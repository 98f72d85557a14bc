"""Handle the signals that stop a process gracefully."""

import signal

import trio


async def wait_for_stop_signal(stop: trio.Event) -> None:
    """Set the event on SIGTERM or SIGINT."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
        async for _ in received:
            stop.set()
