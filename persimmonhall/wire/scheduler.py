"""Look into trio's scheduler, where it has no public or no cheap name for a value.

`trio.testing`, which exports one of them, takes 0.2 s to import where pytest is
installed, and `trio.lowlevel.current_statistics` takes longer than many callbacks.
"""

from collections.abc import Callable

from absl import logging

try:
    from trio._core import wait_all_tasks_blocked
    from trio._core._run import GLOBAL_RUN_CONTEXT
except ImportError:
    wait_all_tasks_blocked = GLOBAL_RUN_CONTEXT = None


class Scheduler:
    """Tell a task that does not yield when another one has something to do."""

    def __init__(self, runner):
        self._run_queue = runner.runq
        self._deadlines = runner.deadlines
        self.fd: int = runner.io_manager._epoll.fileno()
        # Takes a quarter of the time of trio.current_time.
        self.current_time: Callable[[], float] = runner.clock.current_time

    def seconds_until_task_runs(self, now: float) -> float:
        """Return the time until a task can run if no input arrives for one."""
        if self._run_queue:
            return 0.0
        return self._deadlines.next_deadline() - now

    async def wait_until_others_wait(self) -> None:
        """Return once every other task waits and no input for one has arrived."""
        await wait_all_tasks_blocked()


def find_scheduler() -> Scheduler | None:
    """Return the running scheduler; None if this version of trio hides its parts.

    Its descriptor can be read while a descriptor that a task waits for is ready, or
    after a signal or another thread has woken the scheduler.
    """
    try:
        return Scheduler(GLOBAL_RUN_CONTEXT.runner)
    except AttributeError as error:
        logging.warning(
            "polling on a shared thread, as trio hides its parts: %s", error
        )
        return None
