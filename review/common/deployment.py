"""Start the programs of the deploy file on loopback addresses.

Stand-ins follow the users' pages (PROTOCOL.md, DEPLOY.md); where a page is silent they
behave like a sound server, client or platform.
"""

import asyncio
import json
import os
import random
import shlex
import signal
import socket
import subprocess
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
BOUNDS = {
    "seedLagS": 3,
    "addressReuseS": 2,
    "touchMs": 3000,
    "ackTimeoutMs": 4000,
    "catchUpS": 4,
    "drainTimeoutMs": 2000,
    "gracePeriodS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "downgradeSlackMs": 250,
    "maxExtensionMs": 5000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "retryBudgetSlack": 48,
    "recoveryS": 15,
}
HEARTBEAT_INTERVAL_S = 1.5
TOUCH_S = BOUNDS["touchMs"] / 1000
GRACE_S = BOUNDS["gracePeriodS"]
START_TIMEOUT_S = 30.0
PORT_NAMES = ("inbound", "outbound", "ready", "controlPlane", "application")
INTERNAL_PORTS = 16


class CaseError(Exception):
    """Signal that a case could not run."""


class Record:
    """Write what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self._file = path.open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def write(self, text):
        """Write one line."""
        seconds = time.monotonic() - self._started_at
        self._file.write(f"{seconds:8.3f} {text}\n")
        self._file.flush()


class Program:
    """Run one program of the deploy file and keep its settings file."""

    def __init__(self, name, role, settings, folder, record):
        self.name = name
        self.settings = settings
        self.process = None
        self._record = record
        self._folder = folder
        self._log = (folder / f"{name}.log").open("ab")
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._command = shlex.split(deploy["roles"][role]["run"])

    def start(self):
        """Start the program with the current settings."""
        path = self._folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings))
        kept = {n: v for n, v in os.environ.items() if n in ("PATH", "HOME", "LANG")}
        self.process = subprocess.Popen(
            self._command,
            cwd=ROOT,
            env={
                **kept,
                "PERSIMMONHALL_CONFIG": str(path),
                "PYTHONPATH": str(ROOT / "target/deps"),
                "PYTHONDONTWRITEBYTECODE": "1",
            },
            stdin=subprocess.DEVNULL,
            stdout=self._log,
            stderr=self._log,
        )
        self._record.write(f"{self.name}: started, pid {self.process.pid}")

    def signal(self, number):
        """Send a signal."""
        self._record.write(f"{self.name}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    def kill(self):
        """Kill the program and wait until it has ended."""
        if self.process is not None and self.process.poll() is None:
            self.signal(signal.SIGKILL)
            self.process.wait()

    def has_ended(self):
        """Return whether the process has ended."""
        return self.process.poll() is not None


class Deployment:
    """Hold the programs of a small deployment: one IP address for each machine."""

    def __init__(self, folder, record, *, controls=3):
        self._folder = folder
        self.record = record
        block = f"127.{random.randrange(1, 250)}.{random.randrange(1, 250)}"
        self._hosts = iter(f"{block}.{number}" for number in range(1, 250))
        first = _free_port_block(f"{block}.1", len(PORT_NAMES) + INTERNAL_PORTS)
        self._ports = {name: first + n for n, name in enumerate(PORT_NAMES)}
        self._internal = first + len(PORT_NAMES)
        self.programs = []
        hosts = [next(self._hosts) for _ in range(controls)]
        self._seeds = [f"{host}:{self._ports['controlPlane']}" for host in hosts]
        self.controls = [
            self._add_control(f"core-{n}", host, f"zone-{n}")
            for n, host in enumerate(hosts, 1)
        ]
        self.nodes = []

    def add_node(self, name, zone, service):
        """Add the node beside a server; return it."""
        host = next(self._hosts)
        settings = self._settings(name, "node", "sidecar", host, zone)
        settings["serves"] = ["sidecar"]
        settings["listenAddresses"] = {
            kind: f"{host}:{self._ports[kind]}"
            for kind in ("inbound", "outbound", "ready", "controlPlane")
        }
        settings["applicationAddress"] = f"{host}:{self._ports['application']}"
        settings["service"] = service
        program = Program(name, "node", settings, self._folder, self.record)
        self.programs.append(program)
        self.nodes.append(program)
        return program

    def add_control(self, name, zone):
        """Add a control machine at a new address, with an empty disk."""
        program = self._add_control(name, next(self._hosts), zone)
        program.settings["bootstrap"] = False
        self.controls.append(program)
        return program

    def start(self):
        """Start all programs."""
        for program in self.programs:
            program.start()

    def stop(self):
        """End every process that was started."""
        for program in self.programs:
            if program.process is not None and program.process.poll() is None:
                program.process.send_signal(signal.SIGCONT)
                program.process.kill()
        for program in self.programs:
            if program.process is not None:
                program.process.wait()

    async def put_manifest(self, manifest, timeout_s=START_TIMEOUT_S):
        """Send a manifest to the control machines until one acknowledges it."""
        end = time.monotonic() + timeout_s
        target = "/rpc?call=configuration.replace"
        for number in range(10_000):
            address = self._seeds[number % len(self._seeds)]
            try:
                status, _, _ = await call_json(address, target, manifest)
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                status = 0
            if status == 200:
                self.record.write(f"operator: version {manifest['version']} is acked")
                return
            if time.monotonic() > end:
                raise CaseError(f"the manifest was not acknowledged: {status}")
            await asyncio.sleep(0.2)

    async def wait_until_ready(self, node, timeout_s=START_TIMEOUT_S):
        """Wait until a node answers its ready address with 200."""
        address = node.settings["listenAddresses"]["ready"]
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            if await is_ready(address):
                return
            await asyncio.sleep(0.1)
        raise CaseError(f"{node.name} is not ready")

    def _add_control(self, name, host, zone):
        settings = self._settings(name, "control", "core", host, zone)
        settings["serves"] = ["control_plane"]
        settings["listenAddresses"] = {
            "controlPlane": f"{host}:{self._ports['controlPlane']}"
        }
        settings["countsAsLoss"] = True
        settings["dataDirectory"] = str(self._folder / f"{name}-data")
        Path(settings["dataDirectory"]).mkdir()
        program = Program(name, "control", settings, self._folder, self.record)
        self.programs.append(program)
        return program

    def _settings(self, name, role, machine_class, host, zone):
        return {
            "nodeName": name,
            "role": role,
            "machineClass": machine_class,
            "ipAddress": host,
            "zone": zone,
            "region": "region",
            "zones": {f"zone-{n}": "region" for n in range(1, 4)},
            "internalPortRange": [
                self._internal,
                self._internal + INTERNAL_PORTS - 1,
            ],
            "seedNodes": self._seeds,
            "bootstrap": True,
            "countsAsLoss": False,
            "limits": {"memoryMb": 300, "maxFileDescriptors": 4100},
            "dataDirectory": None,
            "discoverySource": "local",
            "entryKind": "local",
            "heartbeatIntervalMs": int(HEARTBEAT_INTERVAL_S * 1000),
            "contracts": ["base", "drain", "config", "cost", "retry", "recover"],
            "faultTolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": [f"{name}={value}" for name, value in BOUNDS.items()],
        }


def make_manifest(routes, version="00000001", base="00000000"):
    """Return a manifest of routes, each a dict with at least host, path and service."""
    defaults = {
        "routeKind": "idempotent",
        "timeoutMs": 6000,
        "targetLatencyMs": 1500,
        "priority": 1,
        "maxAttempts": 2,
    }
    services = sorted({route["service"] for route in routes})
    return {
        "version": version,
        "routes": [
            {"name": f"r-{number}", **defaults, **route}
            for number, route in enumerate(routes)
        ],
        "services": [
            {
                "name": name,
                "healthCheckPath": "/health",
                "maxConnections": 1000,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 67108864,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "baseVersion": base,
    }


def split_address(address):
    """Return host and port of an address."""
    host, _, port = address.rpartition(":")
    return host, int(port)


async def is_ready(address):
    """Return whether a ready address answers 200."""
    try:
        status, _, _ = await exchange(
            address, b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n"
        )
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return False
    return status == 200


async def call_json(address, target, body, timeout_s=1.0):
    """Send a call of the platform; return status, headers and body of the answer."""
    data = json.dumps(body).encode()
    head = (
        f"POST {target} HTTP/1.1\r\nHost: {address}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
    )
    return await exchange(address, head.encode() + data, timeout_s)


async def exchange(address, data, timeout_s=1.0):
    """Send one request on a new connection and return its answer."""
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(*split_address(address))
        try:
            writer.write(data)
            return await read_answer(reader)
        finally:
            writer.transport.abort()


async def read_head(reader):
    """Read the first line and the headers of a message."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    return first, headers


async def read_answer(reader):
    """Read a whole answer; return status, headers and body."""
    first, headers = await read_head(reader)
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = await _read_chunks(reader)
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    else:
        # Raises an error if the connection is reset.
        body = await reader.read()
    return int(first.split(" ")[1]), headers, body


async def _read_chunks(reader):
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).partition(b";")[0], 16)
        body += (await reader.readexactly(size + 2))[:size]
        if not size:
            return body


def new_attempt_id():
    """Return the id of a client attempt."""
    return f"{random.getrandbits(64):016x}"


def make_request(method, host, path, attempt, deadline_ms, body=b""):
    """Return an encoded client request."""
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
        f"X-Attempt-Id: {attempt}\r\nX-Deadline-Ms: {deadline_ms}\r\n"
    )
    if body:
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


def _free_port_block(host, count):
    """Return the first of some ports that are free at a host."""
    for _ in range(200):
        first = random.randrange(20_000, 30_000)
        sockets = []
        try:
            for port in range(first, first + count):
                probe = socket.socket()
                sockets.append(probe)
                probe.bind((host, port))
        except OSError:
            continue
        finally:
            for probe in sockets:
                probe.close()
        return first
    raise CaseError("no free ports")
