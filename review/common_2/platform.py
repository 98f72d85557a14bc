"""Run the project's programs as the platform does, on loopback addresses."""

import asyncio
import json
import os
import random
import resource
import shlex
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
RESTART_DELAY_S = 0.5
MEMORY_CHECK_S = 0.005
# Of the role, in deploy/system.toml.
METRICS_PORT = 9464
STARTUP_TIMEOUT_S = 25.0
BOUNDS = (
    "seedLagS=3",
    "addressReuseS=2",
    "touchMs=3000",
    "ackTimeoutMs=4000",
    "catchUpS=4",
    "drainTimeoutMs=2000",
    "gracePeriodS=6",
    "lossSlackMs=200",
    "configApplyMs=2000",
    "downgradeSlackMs=250",
    "maxExtensionMs=5000",
    "retryBudgetRatio=0.2",
    "budgetWindowS=10",
    "retryBudgetSlack=50",
    "recoveryS=15",
)
CONTRACTS = ("base", "drain", "config", "cost", "retry", "recover", "pressure")


class SetupError(Exception):
    """Report that a case can't run here."""


class Record:
    """Write what happens to record.txt, with seconds since the start."""

    def __init__(self, path: Path):
        self._file = path.open("w", encoding="utf-8")
        self._start = time.monotonic()

    def __call__(self, text: str) -> None:
        """Write one line."""
        now = time.monotonic() - self._start
        self._file.write(f"{now:8.3f} {text}\n")
        self._file.flush()


class Machine:
    """Hold one machine with the one process of its role."""

    def __init__(self, platform: "Platform", name: str, role: str, number: int):
        self.platform = platform
        self.name = name
        self.role = role
        self.zone = platform.zones[number % len(platform.zones)]
        first = 1 if role == "core" else 101
        self.host = f"127.{platform.network}.{first + number}"
        self.service = ""
        self.memory_mb = platform.side_memory_mb if role == "side" else 296
        self.process: subprocess.Popen | None = None
        self.log = platform.folder / f"{name}.log"
        self.data = platform.folder / f"{name}.data"
        self.is_first_start = True
        self.should_run = False
        self.ends: list[str] = []
        self.kills_for_memory = 0
        self.started_at = 0.0

    def address(self, port: str) -> str:
        """Return an address of this machine."""
        return f"{self.host}:{self.platform.ports[port]}"

    @property
    def is_running(self) -> bool:
        """Return whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def settings(self) -> dict:
        """Return the settings file, with the fields of DEPLOY.md."""
        platform = self.platform
        side = self.role == "side"
        listen = {"controlPlane": self.address("controlPlane")}
        if side:
            for name in ("inbound", "outbound", "ready"):
                listen[name] = self.address(name)
        return {
            "nodeName": self.name,
            "role": "node" if side else "control",
            "machineClass": "sidecar" if side else "core",
            "serves": ["sidecar"] if side else ["control_plane"],
            "ipAddress": self.host,
            "zone": self.zone,
            "region": "viti",
            "zones": dict.fromkeys(platform.zones, "viti"),
            "listenAddresses": listen,
            "internalPortRange": list(platform.internal_ports),
            "seedNodes": platform.seeds,
            "bootstrap": self.is_first_start,
            "countsAsLoss": not side,
            "limits": {
                "cpuFraction": 0.86 if side else 0.645,
                "cpuCores": 2,
                "memoryMb": self.memory_mb,
                "maxFileDescriptors": 4100 if side else 4096,
                "linkMbps": 1000.0,
                "diskMb": 0 if side else 256,
            },
            "dataDirectory": None if side else str(self.data),
            "discoverySource": "local",
            "entryKind": "local" if side else None,
            "heartbeatIntervalMs": 1500,
            "contracts": list(CONTRACTS),
            "faultTolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": list(platform.bounds),
            "applicationAddress": self.address("application") if side else None,
            "service": self.service or None,
        }

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        path = self.platform.folder / f"{self.name}.settings"
        if self.role == "core":
            self.data.mkdir(exist_ok=True)
        path.write_text(json.dumps(self.settings()), encoding="utf-8")
        kept = ("PATH", "HOME", "LANG")
        environment = {k: os.environ[k] for k in kept if k in os.environ}
        environment["PERSIMMONHALL_CONFIG"] = str(path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        role = "node" if self.role == "side" else "control"
        _, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
        limit = 4100 if self.role == "side" else 4096
        if hard_limit != resource.RLIM_INFINITY:
            limit = min(limit, hard_limit)
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                shlex.split(self.platform.commands[role]),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=lambda: resource.setrlimit(
                    resource.RLIMIT_NOFILE, (limit, limit)
                ),
            )
        self.is_first_start = False
        self.should_run = True
        self.started_at = time.monotonic()

    def send_signal(self, number: int) -> None:
        """Send a signal to the process that this machine started."""
        if self.is_running:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process; the platform starts it again after a short delay."""
        if self.is_running:
            self.process.kill()
            self.process.wait()

    def peak_mb(self) -> float:
        """Return the most resident memory of the process, without mapped files."""
        if self.process is None:
            return 0.0
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        sizes = {
            line.split()[0]: int(line.split()[1])
            for line in status.splitlines()
            if line.startswith(("VmHWM:", "RssFile:", "RssShmem:"))
        }
        mapped = sizes.get("RssFile:", 0) + sizes.get("RssShmem:", 0)
        return (sizes.get("VmHWM:", 0) - mapped) / 1024


class Platform:
    """Start machines, restart processes that end, and stop them all at the end."""

    def __init__(
        self,
        record: Record,
        *,
        controls: int = 3,
        nodes: int = 4,
        services: tuple[str, ...] = ("huvo11a",),
        side_memory_mb: int = 300,
        bounds: tuple[str, ...] = BOUNDS,
    ):
        if not (ROOT / "target" / "deps").is_dir():
            raise SetupError("target/deps is missing: run the build of the deploy file")
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.commands = {n: r["run"] for n, r in deploy["roles"].items()}
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.zones = ("suva", "nadi", "lautoka")
        self.bounds = bounds
        self.side_memory_mb = side_memory_mb
        self.network, self._guard = _reserve_network()
        ports = _free_ports(6, f"127.{self.network}.101")
        names = ("inbound", "outbound", "ready", "controlPlane", "application")
        self.ports = dict(zip(names, ports, strict=False))
        self.internal_ports = (ports[5], ports[5] + 15)
        self.cores = [
            Machine(self, f"core-{n + 1}", "core", n) for n in range(controls)
        ]
        self.nodes = [Machine(self, f"side-{n + 1}", "side", n) for n in range(nodes)]
        for number, node in enumerate(self.nodes):
            node.service = services[number % len(services)]
        self.seeds = [core.address("controlPlane") for core in self.cores[:3]]
        self._keeper: asyncio.Task | None = None

    @property
    def machines(self) -> list[Machine]:
        """Return all machines."""
        return [*self.cores, *self.nodes]

    async def start(self) -> None:
        """Start all processes and keep them running."""
        for machine in self.machines:
            machine.start()
        self._keeper = asyncio.create_task(self._keep())

    async def _keep(self) -> None:
        """Start a process again a short delay after it has ended."""
        while True:
            await asyncio.sleep(0.05)
            for machine in self.machines:
                if machine.should_run and not machine.is_running:
                    code = machine.process.returncode
                    machine.ends.append(f"{code}")
                    machine.should_run = False
                    self.record(f"platform: process of {machine.name} ended ({code})")
                    asyncio.get_running_loop().call_later(
                        RESTART_DELAY_S, self._restart, machine
                    )

    def _restart(self, machine: Machine) -> None:
        if self._keeper is not None:
            machine.start()
            self.record(f"platform: process of {machine.name} started again")

    def limit_memory(self) -> None:
        """Kill nodes that use more memory than their machine's memoryMb."""
        if not self.nodes[0].peak_mb():
            raise SetupError("this system does not tell the memory of a process")
        threading.Thread(target=self._watch_memory, daemon=True).start()

    def _watch_memory(self) -> None:
        while self._keeper is not None:
            for machine in self.nodes:
                used_mb = machine.peak_mb()
                if used_mb > machine.memory_mb and machine.is_running:
                    machine.kills_for_memory += 1
                    self.record(
                        f"platform: {machine.name} uses {used_mb:.0f} MB of"
                        f" {machine.memory_mb}, its process is killed"
                    )
                    machine.send_signal(signal.SIGKILL)
            time.sleep(MEMORY_CHECK_S)

    def kill_all(self, machines: list[Machine]) -> None:
        """Kill several processes at the same moment."""
        for machine in machines:
            machine.send_signal(signal.SIGKILL)

    async def stop(self) -> None:
        """End every process that was started and remove the folder."""
        if self._keeper is not None:
            self._keeper.cancel()
            self._keeper = None
        self._guard.close()
        for machine in self.machines:
            if machine.process is not None:
                machine.send_signal(signal.SIGCONT)
                machine.kill()
        if not os.environ.get("REVIEW_KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(self.folder)


def _reserve_network() -> tuple[str, socket.socket]:
    """Return two octets of addresses that no other run uses, and their guard."""
    for _ in range(100):
        network = f"{random.randrange(10, 250)}.{random.randrange(1, 250)}"
        guard = socket.socket()
        try:
            guard.bind((f"127.{network}.250", METRICS_PORT))
        except OSError:
            guard.close()
            continue
        return network, guard
    raise SetupError("no loopback addresses to use")


def _free_ports(count: int, host: str) -> list[int]:
    """Return ports below the ephemeral ones on which nothing listens."""
    start = random.randrange(12000, 30000, 64)
    while True:
        ports = [start + 20 * n for n in range(count)]
        if all(_is_free(host, port) for port in (*ports, METRICS_PORT)):
            return ports
        start += 64
        if start > 31000:
            raise SetupError("no free ports")


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True
