"""Start control VMs, nodes and backend servers on loopback addresses."""

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

from harness.processes import Processes, RunningProcess
from persimmonhall.address import Address
from persimmonhall.control.admin_client import AdminClient
from persimmonhall.errors import Refusal
from persimmonhall.http.client import PooledClient
from persimmonhall.http.messages import HttpAnswer, HttpRequest

ANY_PORT = "127.0.0.1:0"
OPERATOR_TOKEN = "token-of-operators"
TEAM_TOKEN = "token-of-publishing"
MAX_ANSWER_BYTES = 64 * 1024 * 1024
WAIT_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05

_hosts = itertools.cycle(range(1, 255))


def free_address() -> str:
    """Return a free address that no other process gets, even between two starts."""
    # The kernel may give a free port to another process, but not on this IP address.
    host = f"127.{1 + os.getpid() // 256 % 254}.{os.getpid() % 256}.{next(_hosts)}"
    with socket.socket() as probe:
        probe.bind((host, 0))
        return f"{host}:{probe.getsockname()[1]}"


class System:
    """Manage the control VMs, nodes and stand-in backend servers."""

    def __init__(self, processes: Processes):
        self._processes = processes
        self.control: dict[str, RunningProcess] = {}
        self.nodes: dict[str, RunningProcess] = {}
        self.backends: dict[str, RunningProcess] = {}
        self.client = PooledClient(500)

    @property
    def folder(self) -> Path:
        """Return the folder with settings, logs and data."""
        return self._processes.folder

    @property
    def admin(self) -> AdminClient:
        """Return a client for the administration API."""
        addresses = tuple(c.addresses["admin"] for c in self.control.values())
        return AdminClient(addresses, OPERATOR_TOKEN)

    async def start_control(
        self, name: str = "control-1", zone: str = "suva", **overrides
    ) -> None:
        """Start a control VM; the first one bootstraps the cluster."""
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
                **overrides,
            },
            "teams": [
                {"name": "operators", "token": OPERATOR_TOKEN, "operator": True},
                {"name": "publishing", "token": TEAM_TOKEN},
            ],
        }
        options = ("--bootstrap",) if first else ()
        self.control[name] = await self._processes.start(
            name, "persimmonhall.cli.control", settings, *options
        )

    async def start_controls(self, count: int) -> None:
        """Start control VMs, each in its own zone, and wait until all are voters."""
        for number in range(1, count + 1):
            await self.start_control(f"control-{number}", f"zone-{number}")
        await self.wait_for_voters(count)

    async def restart_control(self, name: str) -> None:
        """Restart an ended control VM with the same settings."""
        self.control[name] = await self._processes.restart(self.control[name])

    async def control_status(self, name: str) -> dict | None:
        """Return the status of a control VM, or None if it does not answer."""
        address = self.control[name].addresses["admin"]
        client = AdminClient((address,), OPERATOR_TOKEN)
        return (await client.get("/status")).value_or(None)

    async def wait_for_leader(self, *excluded: str) -> str:
        """Wait until a control VM that is not excluded leads; return its name."""
        found = []

        async def has_leader() -> bool:
            for name in self.control:
                if (
                    name in excluded
                    or self.control[name].process.returncode is not None
                ):
                    continue
                status = await self.control_status(name)
                if status is not None and status["role"] == "leader":
                    found.append(name)
            return bool(found)

        await self.wait_until(has_leader, "a leader")
        return found[-1]

    async def wait_for_voters(self, count: int) -> None:
        """Wait until the replica set has the given number of replicas, all voters."""

        async def are_voters() -> bool:
            replicas = (await self.admin.get("/replicas")).value_or(())
            return len(replicas) == count and all(r["voter"] for r in replicas)

        await self.wait_until(are_voters, f"{count} voters")

    async def start_node(
        self,
        name: str,
        zone: str,
        *options: str,
        control: tuple[Address, ...] = (),
        seeds: tuple[Address, ...] = (),
        **overrides,
    ) -> RunningProcess:
        """Start a node; by default it knows all control VMs and the first node."""
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
                **overrides,
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

    async def start_nodes(self, zones: Mapping[str, str], **overrides) -> None:
        """Start nodes in their zones: the seed node first, then the others together."""
        number = len(self.nodes) + 1
        first, *others = zones
        await self.start_node(first, zones[first], **overrides)
        async with trio.open_nursery() as nursery:
            for seed, node in enumerate(others, number + 1):
                start = partial(
                    self.start_node, node, zones[node], seed=seed, **overrides
                )
                nursery.start_soon(start)
        for node in others:
            self.nodes[node] = self.nodes.pop(node)

    async def start_backends(
        self, nodes: Iterable[str], service: str, **overrides
    ) -> None:
        """Start a stand-in backend server of a service beside each node."""
        async with trio.open_nursery() as nursery:
            for node in nodes:
                start = partial(self.start_backend, node, service, **overrides)
                nursery.start_soon(start)

    async def start_backend(
        self, node: str, service: str, **overrides
    ) -> RunningProcess:
        """Start a stand-in backend server beside a node."""
        settings = {
            "service": service,
            "node": str(self.nodes[node].addresses["local"]),
            **overrides,
        }
        name = f"{node}-backend"
        self.backends[node] = await self._processes.start(
            name, "harness.standin", settings
        )
        return self.backends[node]

    async def restart_backend(self, node: str) -> None:
        """Restart an ended stand-in backend server."""
        self.backends[node] = await self._processes.restart(self.backends[node])

    async def restart_node(self, name: str) -> RunningProcess:
        """Restart an ended node on its previous addresses."""
        running = self.nodes[name]
        lines = running.settings_path.read_text().splitlines()
        updated = [
            f'{key} = "{running.addresses[key]}"' if key in running.addresses else line
            for line in lines
            for key in [line.partition(" ")[0]]
        ]
        running.settings_path.write_text("\n".join(updated))
        self.nodes[name] = await self._processes.restart(running)
        return self.nodes[name]

    async def start_task(self, run: Callable[[], Awaitable[None]]) -> None:
        """Run a function in the background of the experiment."""
        self._processes.nursery.start_soon(run)

    async def run_load(self, settings: dict) -> dict:
        """Run persimmonhall-load and return its figures."""
        return await self._processes.run_load(settings)

    async def put_document(self, service: str, text: str, revision: int = 0) -> Result:
        """Put a document through the administration API."""
        return await self.admin.put_document(
            service, text, revision, f"{service}-{revision}"
        )

    async def deploy_service(self, service: str, text: str, servers: int) -> None:
        """Put a document and wait until every node can route to its service."""
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
        """Return the status of a node."""
        answer = await self.send(node, HttpRequest("GET", "/-/status", ()), "local")
        return json.loads(answer.unwrap().body)

    async def counts(self, node: str) -> dict:
        """Return the counts of the stand-in server of a node."""
        answer = await self.send_to_backend(node, "/-/counts")
        return json.loads(answer.body)

    async def metrics(self, node: str) -> dict[str, str]:
        """Return the metrics of a node, keyed by name and labels."""
        request = HttpRequest("GET", "/-/metrics", ())
        answer = (await self.send(node, request, "local")).unwrap()
        lines = answer.body.decode().splitlines()
        return dict(line.rsplit(" ", 1) for line in lines)

    async def set_behaviour(self, node: str, **behaviour) -> None:
        """Change the behaviour of the stand-in server of a node."""
        query = "&".join(f"{k}={json.dumps(v)}" for k, v in behaviour.items())
        await self.send_to_backend(node, f"/-/behave?{query}")

    async def send_to_backend(self, node: str, target: str) -> HttpAnswer:
        """Send a request directly to a stand-in server, bypassing the gate."""
        address: Address = self.backends[node].addresses["listen"]
        request = HttpRequest("GET", target, ())
        answer = await self.client.send(address, request, MAX_ANSWER_BYTES)
        return answer.unwrap()

    async def wait_until(self, condition, description: str) -> None:
        """Poll a condition until it holds; raise TimeoutError after a time limit."""
        with trio.move_on_after(WAIT_TIMEOUT_S):
            while not await condition():
                await trio.sleep(POLL_INTERVAL_S)
            return
        raise TimeoutError(description)

    async def wait_for_members(self, service: str, count: int) -> None:
        """Wait until every node knows the given count of ready servers of a service."""

        async def are_known() -> bool:
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

        await self.wait_until(are_known, f"{count} members of {service}")

    async def wait_for_document(self, service: str, revision: int) -> None:
        """Wait until a document revision is active on every node."""

        async def is_active() -> bool:
            for node in self.nodes:
                documents = (await self.status(node))["documents"]
                if documents.get(service, 0) < revision:
                    return False
            return True

        await self.wait_until(is_active, f"revision {revision} of {service}")


@asynccontextmanager
async def open_system():
    """Open an empty system and stop all its processes on exit."""
    with TemporaryDirectory(prefix="persimmonhall-") as folder:
        async with trio.open_nursery() as nursery:
            processes = Processes(nursery, Path(folder))
            try:
                yield System(processes)
            finally:
                await processes.stop()
                nursery.cancel_scope.cancel()
