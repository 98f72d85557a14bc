"""Submit the final state of claims to the log, even after the caller left."""

import trio
from absl import logging
from returns.result import Failure, Success

from persimmonhall.control.client import ControlClient
from persimmonhall.once.messages import FinishKey, LoseClaims, ReleaseKey

MAX_PENDING_COMPLETIONS = 10_000
ATTEMPT_TIMEOUT_S = 1.0
COMPLETION_TIMEOUT_S = 60.0
MIN_RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 2.0

CompletionCommand = FinishKey | ReleaseKey | LoseClaims


class ClaimCompleter:
    """Submit completions in the background, with retries, until the log has them."""

    def __init__(self, control: ControlClient, nursery: trio.Nursery):
        self._control = control
        self._nursery = nursery
        self._pending = 0
        self._idle = trio.Event()
        self._idle.set()

    def complete(self, command: CompletionCommand) -> trio.Event:
        """Start to submit a completion; the event is set once it is done or dropped."""
        done = trio.Event()
        if self._pending >= MAX_PENDING_COMPLETIONS:
            logging.warning("claim ending dropped pending=%d", self._pending)
            done.set()
            return done
        if self._pending == 0:
            self._idle = trio.Event()
        self._pending += 1
        self._nursery.start_soon(self._complete, command, done)
        return done

    async def wait_idle(self, timeout_s: float) -> None:
        """Wait until no completion is pending, for at most the timeout in seconds."""
        with trio.move_on_after(timeout_s):
            await self._idle.wait()

    async def _complete(self, command: CompletionCommand, done: trio.Event) -> None:
        try:
            with trio.move_on_after(COMPLETION_TIMEOUT_S) as scope:
                await self._submit(command)
            if scope.cancelled_caught:
                logging.warning("claim ending lost %s", type(command).__name__)
        finally:
            done.set()
            self._pending -= 1
            if self._pending == 0:
                self._idle.set()

    async def _submit(self, command: CompletionCommand) -> None:
        delay_s = MIN_RETRY_DELAY_S
        while True:
            with trio.move_on_after(ATTEMPT_TIMEOUT_S):
                match await self._control.submit(command):
                    case Success():
                        return
                    case Failure(refusal):
                        logging.debug(
                            "claim completion failed, retrying: %s", refusal.detail
                        )
            await trio.sleep(delay_s)
            delay_s = min(2 * delay_s, MAX_RETRY_DELAY_S)
