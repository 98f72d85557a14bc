"""Start the programs of the product; forking one that has read the code is cheap.

A job may name a recorded disk: the file `.delay` delays each sync, and `.durable` gets
the size of each file that is durable from then on. In tests it names a planted fault.
"""

import ctypes
import json
import os
import signal
import stat
import sys
import time
from pathlib import Path

import trio

from persimmonhall.cli import control, node

PR_SET_PDEATHSIG = 1
LATE_RELEASE_S = 4.0
PROGRAMS = {"control": control.main, "node": node.main}


def _record_syncs(delay_path: Path, durable_path: Path) -> None:
    """Delay syncs as told by a file and record what has become durable."""
    for name in ("fsync", "fdatasync"):
        original = getattr(os, name)

        def sync(descriptor: int, original=original) -> None:
            delay_s = float(delay_path.read_text() or 0) if delay_path.exists() else 0
            status = os.fstat(descriptor)
            time.sleep(delay_s)
            original(descriptor)
            if stat.S_ISREG(status.st_mode):
                with durable_path.open("a") as file:
                    file.write(f"{status.st_ino} {status.st_size}\n")

        setattr(os, name, sync)


def _plant_early_ack() -> None:
    """Acknowledge writes before they are synced."""
    from persimmonhall.raft import driver

    async def write_forever(self) -> None:
        while True:
            await self._writes_pending.wait()
            self._writes_pending = trio.Event()
            batch, self._pending_writes = tuple(self._pending_writes), []
            if batch:
                self._core.mark_synced(batch[-1].sequence, trio.current_time())
                self.wake()
                await self._write(batch)

    driver.RaftDriver._write_forever = write_forever


def _plant_unproved_resend() -> None:
    """Send requests again that may have run and may run only once."""
    from persimmonhall.call.retry_policy import RetryPolicy

    RetryPolicy.is_retry_allowed = RetryPolicy._has_attempt_left


def _plant_forgotten_drain() -> None:
    """Let the gate take calls for a server that drains."""
    from dataclasses import replace

    from persimmonhall.call.backend_session import BackendSession
    from persimmonhall.dialect import InstanceState

    original = BackendSession.set_instance

    def set_instance(self, report) -> None:
        if report is not None:
            report = replace(report, state=InstanceState.READY)
        original(self, report)

    BackendSession.set_instance = set_instance


def _plant_old_keys() -> None:
    """Let the entry go on taking the keys of releases that were replaced."""
    from persimmonhall.organisation.keyring import Keyring

    original, old = Keyring.__init__, {}

    def init(self, organisations=()) -> None:
        original(self, organisations)
        old.update(self._organisations)
        self._organisations = dict(old)

    Keyring.__init__ = init


def _plant_own_proof() -> None:
    """Let each node take its release for the newest."""
    from persimmonhall.organisation.release_proof import ReleaseProof

    ReleaseProof.holds = ReleaseProof.is_fresh = lambda self, index: True


def _plant_own_quota() -> None:
    """Let each node admit up to the whole quota, whatever the others run."""
    from persimmonhall.pooling.node_limits import NodeLimits

    def try_admit(self, subject, now) -> bool:
        self._fleet_size = 1
        return self._try_admit_alone(subject, now)

    NodeLimits.try_admit = try_admit


def _plant_late_release() -> None:
    """Let each node ignore every third release for some seconds."""
    from persimmonhall.release.active import ActiveRelease

    original, seen = ActiveRelease.apply, {}

    def apply(self, held) -> bool:
        first_at = seen.setdefault(held.index, time.monotonic())
        is_late = list(seen).index(held.index) % 3 == 2
        if is_late and time.monotonic() - first_at < LATE_RELEASE_S:
            return False
        return original(self, held)

    ActiveRelease.apply = apply


def _plant_kept_routes() -> None:
    """Let the entry go on serving routes that were removed."""
    from persimmonhall.release.routes import RouteTable

    original = RouteTable.__init__

    def init(self, release, rng, previous=None) -> None:
        original(self, release, rng, previous)
        for host, routes in (previous._hosts if previous else {}).items():
            self._hosts[host] = routes | self._hosts[host]
        for key, targets in (previous._targets_by_route if previous else {}).items():
            self._targets_by_route.setdefault(key, targets)

    RouteTable.__init__ = init


def _plant_unchecked_release() -> None:
    """Let control VMs take releases that are invalid."""
    from persimmonhall.release import schema

    schema._find_problems = lambda release: ()


def _plant_own_weights() -> None:
    """Let the entry share requests as if all weights were the same."""
    from persimmonhall.release import routes

    def choose(targets):
        targets.append(targets.pop(0))
        return targets[0]

    routes._choose_target = choose


def _plant_own_timeout() -> None:
    """Let the entry wait for as long as the caller would."""
    from persimmonhall.release import schema

    original = schema.Route.__init__

    def init(self, *arguments, **fields) -> None:
        original(self, *arguments, **fields)
        object.__setattr__(self, "timeout_ms", schema.MAX_TIMEOUT_MS)

    schema.Route.__init__ = init


PLANTS = {
    "late-release": _plant_late_release,
    "kept-routes": _plant_kept_routes,
    "unchecked-release": _plant_unchecked_release,
    "own-weights": _plant_own_weights,
    "own-timeout": _plant_own_timeout,
    "old-keys": _plant_old_keys,
    "own-proof": _plant_own_proof,
    "own-quota": _plant_own_quota,
    "early-ack": _plant_early_ack,
    "unproved-resend": _plant_unproved_resend,
    "forgotten-drain": _plant_forgotten_drain,
}


def _run_program(job: dict) -> None:
    """Become a program of the product; called in a process of its own."""
    # End with the process that started this one.
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
    signal.signal(signal.SIGCHLD, signal.SIG_DFL)
    log = os.open(job["log"], os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o600)
    for descriptor in (sys.stdout.fileno(), sys.stderr.fileno()):
        os.dup2(log, descriptor)
    if job["disk"]:
        _record_syncs(Path(job["disk"] + ".delay"), Path(job["disk"] + ".durable"))
    if job["plant"]:
        PLANTS[job["plant"]]()
    sys.argv = [job["program"], "--settings", job["settings"]]
    sys.exit(PROGRAMS[job["program"]]())


def main() -> None:
    """Start a process for each line of the input and print its id."""
    signal.signal(signal.SIGCHLD, signal.SIG_IGN)
    for line in sys.stdin:
        pid = os.fork()
        if not pid:
            _run_program(json.loads(line))
        print(pid, flush=True)


if __name__ == "__main__":
    main()
