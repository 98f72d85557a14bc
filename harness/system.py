"""Start a whole small system on loopback."""

import itertools
import json
import os
import socket
from collections.abc import Awaitable, Callable, Iterable, Mapping
from contextlib import asynccontextmanager
from functools import partial
from pathlib import Path
from tempfile import TemporaryDirectory

import trio
from returns.result import Result

from harness.processes import Processes, Running
from persimmonhall.address import Address
from persimmonhall.control.admin_client import AdminClient
from persimmonhall.errors import Refusal
from persimmonhall.http.client import PooledClient
from persimmonhall.http.messages import HttpAnswer, HttpRequest

ANY_PORT = "127.0.0.1:0"
TOKEN = "token-of-operators"
TEAM_TOKEN = "token-of-publishing"
MAX_ANSWER_BYTES = 64 * 1024 * 1024
WAIT_S = 20.0
POLL_S = 0.05

_hosts = itertools.cycle(range(1, 255))


def free_address() -> str:
    """Return an address that nobody else is given, also between two starts."""
    # The kernel gives a free port to the next who asks, but not of this IP number.
    host = f"127.{1 + os.getpid() // 256 % 254}.{os.getpid() % 256}.{next(_hosts)}"
    with socket.socket() as probe:
        probe.bind((host, 0))
        return f"{host}:{probe.getsockname()[1]}"


class System:
    """Hold control, nodes and stand-in backend servers."""

    def __init__(self, processes: Processes):
        self._processes = processes
        self.control: dict[str, Running] = {}
        self.nodes: dict[str, Running] = {}
        self.backends: dict[str, Running] = {}
        self.client = PooledClient(500)

    @property
    def folder(self) -> Path:
        """Return the folder with settings, logs and data."""
        return self._processes.folder

    @property
    def admin(self) -> AdminClient:
        """Return a client of the administration API."""
        addresses = tuple(c.addresses["admin"] for c in self.control.values())
        return AdminClient(addresses, TOKEN)

    async def start_control(
        self, name: str = "control-1", zone: str = "suva", **more
    ) -> None:
        """Start a control VM's process; the first one makes the cluster."""
        first = not self.control
        peers = [str(c.addresses["frames"]) for c in self.control.values()]
        settings = {
            "control": {
                "name": name,
                "zone": zone,
                "admin": free_address(),
                "frames": free_address(),
                "data_folder": str(self.folder / f"{name}.data"),
                "peers": peers,
                **more,
            },
            "teams": [
                {"name": "operators", "token": TOKEN, "operator": True},
                {"name": "publishing", "token": TEAM_TOKEN},
            ],
        }
        options = ("--bootstrap",) if first else ()
        self.control[name] = await self._processes.start(
            name, "persimmonhall.cli.control", settings, *options
        )

    async def start_controls(self, count: int) -> None:
        """Start control VMs in as many zones and wait until all of them vote."""
        for number in range(1, count + 1):
            await self.start_control(f"control-{number}", f"zone-{number}")
        await self.wait_for_voters(count)

    async def restart_control(self, name: str) -> None:
        """Start an ended control process anew with the same settings."""
        self.control[name] = await self._processes.restart(self.control[name])

    async def control_status(self, name: str) -> dict | None:
        """Return what a control VM says of itself, or None without an answer."""
        address = self.control[name].addresses["admin"]
        client = AdminClient((address,), TOKEN)
        return (await client.get("/status")).value_or(None)

    async def wait_for_leader(self, *but: str) -> str:
        """Wait until one control VM but for some leads, and return its name."""
        found = []

        async def leads() -> bool:
            for name in self.control:
                if name in but or self.control[name].process.returncode is not None:
                    continue
                status = await self.control_status(name)
                if status is not None and status["role"] == "leader":
                    found.append(name)
            return bool(found)

        await self.wait_until(leads, "a leader")
        return found[-1]

    async def wait_for_voters(self, count: int) -> None:
        """Wait until the replica set is made of so many voters, all known."""

        async def vote() -> bool:
            replicas = (await self.admin.get("/replicas")).value_or(())
            return len(replicas) == count and all(r["voter"] for r in replicas)

        await self.wait_until(vote, f"{count} voters")

    async def start_node(
        self,
        name: str,
        zone: str,
        *options: str,
        control: tuple[Address, ...] = (),
        seeds: tuple[Address, ...] = (),
        **more,
    ) -> Running:
        """Start a node that knows control and the first node, unless told others."""
        nodes = list(self.nodes.values())
        control = control or [c.addresses["frames"] for c in self.control.values()]
        seeds = seeds or [node.addresses["frames"] for node in nodes[:1]]
        settings = {
            "node": {
                "name": name,
                "zone": zone,
                "callers": ANY_PORT,
                "local": ANY_PORT,
                "frames": ANY_PORT,
                "seed": len(self.nodes) + 1,
                **more,
            },
            "peers": {
                "control": [str(address) for address in control],
                "seeds": [str(address) for address in seeds],
            },
        }
        self.nodes[name] = await self._processes.start(
            name, "persimmonhall.cli.node", settings, *options
        )
        return self.nodes[name]

    async def start_nodes(self, zones: Mapping[str, str], **more) -> None:
        """Start nodes, each in its zone: one that the others know, then these."""
        number = len(self.nodes) + 1
        first, *others = zones
        await self.start_node(first, zones[first], **more)
        async with trio.open_nursery() as nursery:
            for seed, node in enumerate(others, number + 1):
                start = partial(self.start_node, node, zones[node], seed=seed, **more)
                nursery.start_soon(start)
        for node in others:
            self.nodes[node] = self.nodes.pop(node)

    async def start_backends(self, nodes: Iterable[str], service: str, **more) -> None:
        """Start a stand-in backend server of a service beside each node."""
        async with trio.open_nursery() as nursery:
            for node in nodes:
                start = partial(self.start_backend, node, service, **more)
                nursery.start_soon(start)

    async def start_backend(self, node: str, service: str, **more) -> Running:
        """Start a stand-in backend server beside a node."""
        settings = {
            "service": service,
            "node": str(self.nodes[node].addresses["local"]),
            **more,
        }
        name = f"{node}-backend"
        self.backends[node] = await self._processes.start(
            name, "harness.standin", settings
        )
        return self.backends[node]

    async def restart_backend(self, node: str) -> None:
        """Start an ended stand-in backend server anew."""
        self.backends[node] = await self._processes.restart(self.backends[node])

    async def restart_node(self, name: str) -> Running:
        """Start an ended node anew on the addresses it had."""
        running = self.nodes[name]
        lines = running.settings.read_text().splitlines()
        kept = [
            f'{key} = "{running.addresses[key]}"' if key in running.addresses else line
            for line in lines
            for key in [line.partition(" ")[0]]
        ]
        running.settings.write_text("\n".join(kept))
        self.nodes[name] = await self._processes.restart(running)
        return self.nodes[name]

    async def start_task(self, run: Callable[[], Awaitable[None]]) -> None:
        """Run a function beside the experiment."""
        self._processes.nursery.start_soon(run)

    async def run_load(self, settings: dict) -> dict:
        """Run persimmonhall-load to its end and return its figures."""
        return await self._processes.run_load(settings)

    async def put_document(self, service: str, text: str, revision: int = 0) -> Result:
        """Put a document through the administration API."""
        return await self.admin.put_document(
            service, text, revision, f"{service}-{revision}"
        )

    async def serve(self, service: str, text: str, servers: int) -> None:
        """Put a document and wait until every node can route its service."""
        await self.put_document(service, text)
        await self.wait_for_document(service, 1)
        await self.wait_for_members(service, servers)

    async def send(
        self, node: str, request: HttpRequest, listener: str = "callers"
    ) -> Result[HttpAnswer, Refusal]:
        """Send a request to a node."""
        address = self.nodes[node].addresses[listener]
        return await self.client.send(address, request, MAX_ANSWER_BYTES)

    async def status(self, node: str) -> dict:
        """Return what a node says of itself."""
        answer = await self.send(node, HttpRequest("GET", "/-/status", ()), "local")
        return json.loads(answer.unwrap().body)

    async def counts(self, node: str) -> dict:
        """Return what the stand-in beside a node counted."""
        answer = await self.ask_backend(node, "/-/counts")
        return json.loads(answer.body)

    async def metrics(self, node: str) -> dict[str, str]:
        """Return the metrics page of a node by name and labels."""
        request = HttpRequest("GET", "/-/metrics", ())
        answer = (await self.send(node, request, "local")).unwrap()
        lines = answer.body.decode().splitlines()
        return dict(line.rsplit(" ", 1) for line in lines)

    async def behave(self, node: str, **behaviour) -> None:
        """Change how the stand-in beside a node behaves."""
        query = "&".join(f"{k}={json.dumps(v)}" for k, v in behaviour.items())
        await self.ask_backend(node, f"/-/behave?{query}")

    async def ask_backend(self, node: str, target: str) -> HttpAnswer:
        """Send a request past the gate to a stand-in."""
        address: Address = self.backends[node].addresses["listen"]
        request = HttpRequest("GET", target, ())
        answer = await self.client.send(address, request, MAX_ANSWER_BYTES)
        return answer.unwrap()

    async def wait_until(self, condition, what: str) -> None:
        """Poll a condition until it holds; raise after a bounded time."""
        with trio.move_on_after(WAIT_S):
            while not await condition():
                await trio.sleep(POLL_S)
            return
        raise TimeoutError(what)

    async def wait_for_members(self, service: str, count: int) -> None:
        """Wait until every node knows that many ready servers of a service."""

        async def known() -> bool:
            for node in self.nodes:
                members = (await self.status(node))["members"]
                ready = [
                    m
                    for m in members
                    if m["service"] == service and m["state"] == "ready"
                ]
                if len(ready) != count:
                    return False
            return True

        await self.wait_until(known, f"{count} members of {service}")

    async def wait_for_document(self, service: str, revision: int) -> None:
        """Wait until a revision is in force on every node."""

        async def in_force() -> bool:
            for node in self.nodes:
                documents = (await self.status(node))["documents"]
                if documents.get(service, 0) < revision:
                    return False
            return True

        await self.wait_until(in_force, f"revision {revision} of {service}")


@asynccontextmanager
async def open_system():
    """Open an empty system and stop all of it at the end."""
    with TemporaryDirectory(prefix="persimmonhall-") as folder:
        async with trio.open_nursery() as nursery:
            processes = Processes(nursery, Path(folder))
            try:
                yield System(processes)
            finally:
                await processes.stop()
                nursery.cancel_scope.cancel()
