"""Refuse claims at once while a quorum of control VMs is missing."""

import trio
from absl import logging
from returns.result import Success

from persimmonhall.control.client import ControlClient
from persimmonhall.control.messages import NoOp

QUORUM_TIMEOUT_S = 2.0
PROBE_TIMEOUT_S = 0.5
PROBE_INTERVAL_S = 0.1


class QuorumMonitor:
    """Detect a missing quorum, and probe until it answers again.

    Probing means that no claim has to wait to find out that the quorum is back.
    """

    def __init__(self, control: ControlClient, nursery: trio.Nursery):
        self._control = control
        self._nursery = nursery
        self._missing_since: float | None = None
        self._is_probing = False

    def is_lost(self, now: float) -> bool:
        """Return whether the quorum is missing for longer than an election takes."""
        since = self._missing_since
        return since is not None and now >= since + QUORUM_TIMEOUT_S

    def record_answer(self) -> None:
        """Record that the quorum answered."""
        if self._missing_since is None:
            return
        missing_s = trio.current_time() - self._missing_since
        logging.info("quorum answers again missing_s=%.2f", missing_s)
        self._missing_since = None

    def record_timeout(self, since: float) -> None:
        """Record that a claim sent at a time was not answered, and start to probe."""
        if self._missing_since is None:
            self._missing_since = since
            logging.warning("no quorum answered a claim, probing")
        if not self._is_probing:
            self._is_probing = True
            self._nursery.start_soon(self._probe)

    async def _probe(self) -> None:
        while self._missing_since is not None:
            with trio.move_on_after(PROBE_TIMEOUT_S):
                match await self._control.submit(NoOp()):
                    case Success():
                        self.record_answer()
                        break
            await trio.sleep(PROBE_INTERVAL_S)
        self._is_probing = False
