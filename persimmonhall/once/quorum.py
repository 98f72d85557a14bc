"""Refuse claims at once while a quorum of control VMs is missing."""

import trio
from absl import logging
from returns.result import Success

from persimmonhall.control.client import ControlClient
from persimmonhall.control.messages import NoOp

PATIENCE_S = 2.0
PROBE_TIMEOUT_S = 0.5
PROBE_PAUSE_S = 0.1


class QuorumWatch:
    """Detect a missing quorum, and probe until it answers again.

    Probing means that no claim has to wait to find out that the quorum is back.
    """

    def __init__(self, control: ControlClient, nursery: trio.Nursery):
        self._control = control
        self._nursery = nursery
        self._missing_since: float | None = None
        self._probing = False

    def is_lost(self, now: float) -> bool:
        """Return whether the quorum is missing for longer than an election takes."""
        since = self._missing_since
        return since is not None and now >= since + PATIENCE_S

    def answered(self) -> None:
        """Record that the quorum answered."""
        if self._missing_since is None:
            return
        missing_s = trio.current_time() - self._missing_since
        logging.info("quorum available again missing_s=%.2f", missing_s)
        self._missing_since = None

    def unanswered(self, since: float) -> None:
        """Record that a claim sent at a time was not answered, and start to probe."""
        if self._missing_since is None:
            self._missing_since = since
            logging.warning("no quorum answered a claim; probing until one does")
        if not self._probing:
            self._probing = True
            self._nursery.start_soon(self._probe)

    async def _probe(self) -> None:
        while self._missing_since is not None:
            with trio.move_on_after(PROBE_TIMEOUT_S):
                match await self._control.submit(NoOp()):
                    case Success():
                        self.answered()
                        break
            await trio.sleep(PROBE_PAUSE_S)
        self._probing = False
