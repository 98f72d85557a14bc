"""Keep claims from waiting for a quorum that has been missing for long."""

import trio
from absl import logging
from returns.result import Success

from persimmonhall.control.client import ControlClient
from persimmonhall.control.messages import NoOp

PATIENCE_S = 2.0
PROBE_TIMEOUT_S = 0.5
PROBE_PAUSE_S = 0.1


class QuorumWatch:
    """Probe for a missing quorum, so that no claim has to wait to find it back."""

    def __init__(self, control: ControlClient, nursery: trio.Nursery):
        self._control = control
        self._nursery = nursery
        self._missing_since: float | None = None
        self._probing = False

    def is_lost(self, now: float) -> bool:
        """Tell whether the quorum is missing for longer than an election takes."""
        since = self._missing_since
        return since is not None and now >= since + PATIENCE_S

    def answered(self) -> None:
        """Take in that the quorum answered."""
        if self._missing_since is None:
            return
        missing_s = trio.current_time() - self._missing_since
        logging.info("quorum answers again missing_s=%.2f", missing_s)
        self._missing_since = None

    def unanswered(self, since: float) -> None:
        """Take in that a claim was not answered, and probe until one is."""
        if self._missing_since is None:
            self._missing_since = since
            logging.warning("no quorum answered a claim, probing")
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
