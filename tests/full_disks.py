"""Fill the disks of control VMs one after another, while releases are put.

Run by hand: `python -m tests.full_disks --seeds 50 --start 1`.
"""

import argparse
import json
import random
import subprocess
import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from tempfile import mkdtemp

import trio

from harness.processes import toml_text
from harness.system import free_address
from persimmonhall.address import parse_address
from tests.full_disk_program import OPERATIONS

READY_TIMEOUT_S = 60.0
PUT_TIMEOUT_S = 5.0
RECOVERY_S = 6.0
RESTART_DELAY_S = 0.3
# The set of the first voters counts as settled then.
SETTLED_AFTER_S = 6.0
POLL_S = 0.02
LARGE_BYTES = 1_900_000
# First voters, and voters that are added later.
VOTERS = ((3, 0), (4, 0), (4, 0), (3, 1))
# What a full disk refuses; the chance is that of each single operation.
KINDS = {
    "writes": {"write": 1.0},
    "new": {"write": 1.0, "open": 1.0},
    "syncs": {"fsync": 1.0},
    "all": dict.fromkeys(OPERATIONS, 1.0),
    "sometimes": dict.fromkeys(OPERATIONS, 0.5),
}


@dataclass
class ControlVm:
    """Start, stop and watch one control VM, and fill its disk."""

    name: str
    settings: dict
    folder: Path
    process: subprocess.Popen | None = None
    is_expected_down: bool = False
    unexpected_ends: list[str] = field(default_factory=list)

    @property
    def log(self) -> Path:
        """Return the path of the log."""
        return self.folder / f"{self.name}.log"

    @property
    def flag(self) -> Path:
        """Return the path of the file that says that the disk is full."""
        return self.folder / f"{self.name}.full"

    @property
    def address(self):
        """Return the address of the release API."""
        return parse_address(self.settings["releases"]).unwrap()

    @property
    def is_running(self) -> bool:
        """Return whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def start(self) -> None:
        """Start the process."""
        path = self.folder / f"{self.name}.toml"
        path.write_text(toml_text({"control": self.settings}))
        data, program = self.settings["data_folder"], "tests.full_disk_program"
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", program, str(path), data, str(self.flag)],
                stdout=log,
                stderr=log,
            )
        self.is_expected_down = False

    async def watch(self) -> None:
        """Start the process again whenever it ends, as the infrastructure does."""
        while True:
            await trio.sleep(POLL_S)
            if self.is_running:
                continue
            if not self.is_expected_down:
                tail = self.log.read_text(errors="replace")[-600:]
                self.unexpected_ends.append(f"{self.name} ended by itself: {tail}")
            await trio.sleep(RESTART_DELAY_S)
            self.start()

    def stop(self, *, kill: bool) -> None:
        """End the process; it is started again after a short delay."""
        self.is_expected_down = True
        if self.is_running:
            (self.process.kill if kill else self.process.terminate)()

    def fill(self, kind: dict) -> None:
        """Let the disk refuse operations."""
        self.flag.write_text(json.dumps(kind))

    def free(self) -> None:
        """Let the disk have room again."""
        self.flag.unlink(missing_ok=True)

    def is_leader(self) -> bool:
        """Return whether the last role in the log is that of the leader."""
        text = self.log.read_text(errors="replace")
        return text.rpartition("replica role=")[2].startswith("leader")


class Scenario:
    """Run control VMs whose disks are full one after another."""

    def __init__(
        self, seed: int, folder: Path, kinds: tuple[str, ...] = (), voters=VOTERS
    ):
        self._kinds = kinds
        self.violations: list[str] = []
        self.acked: dict[int, float] = {}
        self.answers: dict[int, int] = {}
        self.notes: list[str] = []
        self._rng = random.Random(seed)
        self.recovery_s = 0.0
        self._version = 0
        self._is_done = False
        self._started_at = 0.0
        # A set that has grown removes a voter that seems to have failed.
        initial, added = self._rng.choice(voters)
        frames = [free_address() for _ in range(initial + added)]
        self.vms = [
            ControlVm(
                f"control-{n}", _make_settings(n, frames, folder, initial), folder
            )
            for n in range(1, initial + added + 1)
        ]
        self._initial_count = initial

    async def fill_disks(self, rounds: int) -> None:
        """Fill all disks one after another while releases are put."""
        async with trio.open_nursery() as load:
            load.start_soon(self._put_forever)
            for _ in range(rounds):
                await self._fill_one_after_another()
            self._is_done = True

    async def run(self, disturb: Callable[[], Awaitable[None]]) -> None:
        """Start the VMs, disturb them, and check that they recover."""
        async with trio.open_nursery() as nursery:
            try:
                await self._start(nursery)
                await disturb()
                await self._check_recovery()
            finally:
                nursery.cancel_scope.cancel()
                for vm in self.vms:
                    if vm.is_running:
                        vm.process.kill()
                    if vm.process is not None:
                        vm.process.wait()
        for vm in self.vms:
            self.violations += vm.unexpected_ends
            if "Traceback" in vm.log.read_text(errors="replace"):
                self.violations.append(f"{vm.name} logged a traceback")

    async def _start(self, nursery: trio.Nursery) -> None:
        for vm in self.vms[: self._initial_count]:
            vm.start()
            nursery.start_soon(vm.watch)
        await self._wait_for_put()
        for vm in self.vms[self._initial_count :]:
            await trio.sleep(SETTLED_AFTER_S)
            vm.start()
            nursery.start_soon(vm.watch)
            await self._wait_for_joined(vm)
        self._started_at = trio.current_time()

    async def _wait_for_put(self) -> None:
        with trio.fail_after(READY_TIMEOUT_S):
            while not await self._put(self.vms[0]):
                await trio.sleep(0.1)

    async def _wait_for_joined(self, vm: ControlVm) -> None:
        with trio.fail_after(READY_TIMEOUT_S):
            while (await _exchange(vm.address, "GET", b""))[0] != 200:
                await trio.sleep(0.1)

    def _note(self, text: str) -> None:
        self.notes.append(f"{trio.current_time() - self._started_at:.2f} {text}")

    async def _fill_one_after_another(self) -> None:
        rng = self._rng
        order = rng.sample(self.vms, len(self.vms))
        chases_leader = rng.random() < 0.4
        max_gap_s = rng.choice((0.0, 0.1, 2.0))
        kind = rng.choice(self._kinds)
        for vm in order:
            if chases_leader:
                vm = next((v for v in self.vms if v.is_leader()), vm)
            full_s = rng.uniform(1.0, rng.choice((1.5, 5.0)))
            self._note(f"{vm.name} full for {full_s:.2f} s: {kind}")
            vm.fill(KINDS[kind])
            await self._disturb(vm, full_s)
            vm.free()
            self._note(f"{vm.name} has room")
            await trio.sleep(rng.uniform(0.0, max_gap_s))

    async def _disturb(self, full: ControlVm, full_s: float) -> None:
        end = trio.current_time() + full_s
        if self._rng.random() < 0.4:
            await trio.sleep(self._rng.uniform(0.0, full_s))
            other = self._rng.choice((full, full, *self.vms))
            is_kill = self._rng.random() < 0.5
            self._note(f"{other.name} {'killed' if is_kill else 'stopped'}")
            other.stop(kill=is_kill)
        await trio.sleep_until(end)

    async def _put_forever(self) -> None:
        while not self._is_done:
            await self._put(self._rng.choice(self.vms))
            await trio.sleep(self._rng.uniform(0.0, 0.1))

    async def _put(self, vm: ControlVm) -> bool:
        """Put a release on the newest version; return whether it was acknowledged."""
        base = await self._read(self._rng.choice(self.vms))
        if base is None:
            return False
        self._version += 1
        version = self._version
        size = LARGE_BYTES if self._rng.random() < 0.15 else 0
        body = json.dumps(_make_release(version, base, size)).encode()
        started_at = trio.current_time()
        status, _ = await _exchange(vm.address, "PUT", body)
        self.answers[status] = self.answers.get(status, 0) + 1
        if status == 200:
            self.acked[version] = trio.current_time()
        took_s = trio.current_time() - started_at
        self._note(f"put {version} on {base} at {vm.name}: {status} ({took_s:.2f})")
        return status == 200

    async def _read(self, vm: ControlVm) -> int | None:
        newest = max(self.acked, default=0)
        started_at = trio.current_time()
        status, body = await _exchange(vm.address, "GET", b"")
        if status == 503 and b"noRelease" in body:
            return 0
        if status != 200:
            took_s = trio.current_time() - started_at
            self._note(f"read at {vm.name}: {status} ({took_s:.2f})")
            return None
        version = json.loads(body)["version"]
        if version < newest:
            text = f"{vm.name} shows {version} after {newest} was acknowledged"
            self.violations.append(text)
        return version

    async def _check_recovery(self) -> None:
        """Check that each VM soon acknowledges a release and shows the newest."""
        self._note("all disks have room")
        # A busy machine takes seconds to start a process that was killed just before.
        with trio.fail_after(READY_TIMEOUT_S):
            for vm in self.vms:
                while not (await _exchange(vm.address, "GET", b""))[0]:
                    await trio.sleep(POLL_S)
        started_at = trio.current_time()
        deadline = started_at + RECOVERY_S
        for vm in self.vms:
            with trio.move_on_at(deadline) as scope:
                while not await self._put(vm):
                    await trio.sleep(POLL_S)
            if scope.cancelled_caught:
                text = f"{vm.name} acknowledges no release {RECOVERY_S} s after the end"
                self.violations.append(text)
        self.recovery_s = trio.current_time() - started_at
        newest = max(self.acked)
        for vm in self.vms:
            if (shown := await self._read(vm)) != newest:
                text = f"{vm.name} shows {shown}, acknowledged was {newest}"
                self.violations.append(text)
        for vm in self.vms:
            if not vm.is_running:
                self.violations.append(f"{vm.name} does not run")


async def _exchange(address, method: str, body: bytes) -> tuple[int, bytes]:
    """Send one request; return status 0 without an answer."""
    head = f"{method} /release HTTP/1.1\r\nhost: x\r\nconnection: close\r\n"
    head += f"content-length: {len(body)}\r\n\r\n"
    received = b""
    with trio.move_on_after(PUT_TIMEOUT_S):
        try:
            stream = await trio.open_tcp_stream(address.host, address.port)
            async with stream:
                await stream.send_all(head.encode() + body)
                while not _is_whole(received):
                    part = await stream.receive_some(1 << 20)
                    if not part:
                        break
                    received += part
        except (OSError, trio.BrokenResourceError):
            return 0, b""
    if not _is_whole(received):
        return 0, b""
    return int(received.split()[1]), received.partition(b"\r\n\r\n")[2]


def _is_whole(received: bytes) -> bool:
    head, end, body = received.partition(b"\r\n\r\n")
    tail = head.lower().partition(b"content-length:")[2]
    return bool(end) and len(body) >= int(tail.split(b"\r\n")[0] or 0)


def _make_settings(number: int, frames: list[str], folder: Path, initial: int) -> dict:
    return {
        "name": f"control-{number}",
        "zone": f"zone-{number}",
        "frames": frames[number - 1],
        "releases": free_address(),
        "data_folder": str(folder / f"control-{number}.data"),
        "found": number <= initial,
        "retire_replaced": True,
        "peers": frames[:initial],
        "snapshot_entries": 100,
    }


def _make_release(version: int, base: int, size: int) -> dict:
    route = {
        "name": "version",
        "host": "maps.example",
        "path_prefix": f"/r{version}/",
        "kind": "idempotent",
        "timeout_ms": 3000,
        "latency_objective_ms": 1000,
        "priority": 0,
        "targets": [{"service": "maps", "weight": 1}],
        "max_servers": 2,
    }
    pad = {"name": "x" * size, "max_connections": 1} if size else None
    services = [{"name": "maps", "max_connections": 100}, *filter(None, (pad,))]
    limits = {"max_header_bytes": 16384, "max_body_bytes": 1 << 20}
    limits |= {"header_timeout_ms": 3000, "idle_timeout_ms": 15000}
    return {
        "version": version,
        "base": base,
        "routes": [route],
        "services": services,
        "limits": limits,
        "organisations": [],
    }


async def run_seed(
    seed: int, folder: Path, rounds: int, kinds: tuple[str, ...] = tuple(KINDS)
) -> Scenario:
    """Run one seed in a folder."""
    folder.mkdir(parents=True, exist_ok=True)
    scenario = Scenario(seed, folder, kinds)
    await scenario.run(partial(scenario.fill_disks, rounds))
    (folder / "notes").write_text("\n".join(scenario.notes))
    return scenario


def main() -> None:
    """Run seeds one after another and print what each broke."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--start", type=int, default=1)
    parser.add_argument("--rounds", type=int, default=2)
    parser.add_argument("--kinds", nargs="+", choices=KINDS, default=tuple(KINDS))
    options = parser.parse_args()
    folder = Path(mkdtemp(prefix="full-disks-"))
    broken = 0
    for seed in range(options.start, options.start + options.seeds):
        path = folder / str(seed)
        scenario = trio.run(run_seed, seed, path, options.rounds, options.kinds)
        broken += bool(scenario.violations)
        recovery = f"{scenario.recovery_s:.1f} s"
        vms = f"{len(scenario.vms)} VMs"
        print(seed, vms, recovery, scenario.answers, path, flush=True)
        for violation in scenario.violations:
            print("   ", violation, flush=True)
    print(f"{broken} of {options.seeds} seeds broke something", flush=True)
    sys.exit(bool(broken))


if __name__ == "__main__":
    main()
