"""Run several control VMs and record the revisions that they accepted."""

import shutil
from contextlib import asynccontextmanager

import trio
from returns.result import Success

from harness.system import OPERATOR_TOKEN, System, free_address, open_system
from persimmonhall.control.admin_client import AdminClient
from tests.builders import CUE_DOCUMENT
from tests.relay import Relay

SERVICE_COUNT = 5
SNAPSHOT_ENTRIES = 300
ANSWER_TIMEOUT_S = 30.0


def make_document(service: str) -> str:
    """Build a document owned by the team of the operators."""
    return CUE_DOCUMENT.replace('"cue"', f'"{service}"').replace(
        '"publishing"', '"operators"'
    )


class ControlCluster:
    """Run control VMs behind relays and record the accepted revisions."""

    def __init__(self, system: System, nursery: trio.Nursery):
        self.system = system
        self.accepted_revisions: dict[str, int] = {}
        self.leader = ""
        self._nursery = nursery
        self._relays: dict[str, Relay] = {}
        self._admin: AdminClient | None = None

    async def start(self, count: int, **overrides) -> None:
        """Start control VMs, beside those that run, and wait until all are voters."""
        first = len(self._relays) + 1
        for number in range(first, first + count):
            name = f"control-{number}"
            frames = free_address()
            relay = Relay(frames)
            await self._nursery.start(relay.run)
            peers = [r.address for r in self._relays.values()]
            self._relays[name] = relay
            await self.system.start_control(
                name,
                frames=frames,
                advertise=relay.address,
                peers=peers,
                snapshot_entries=SNAPSHOT_ENTRIES,
                **overrides,
            )
        await self.system.wait_for_voters(len(self._relays))
        self._admin = self.system.admin
        self.leader = await self.system.wait_for_leader()

    async def put_changes(self, count: int) -> None:
        """Put changes, each repeated until it is accepted."""
        async with trio.open_nursery() as nursery:
            for number in range(min(count, SERVICE_COUNT)):
                times = len(range(number, count, SERVICE_COUNT))
                nursery.start_soon(self._put_revisions, f"s{number}", times)

    async def _put_revisions(self, service: str, times: int) -> None:
        for _ in range(times):
            await self.put(service, self.accepted_revisions.get(service, 0))

    async def put(self, service: str, revision: int) -> None:
        """Put one revision until it is accepted."""
        change = f"{service}-{revision}"
        with trio.fail_after(ANSWER_TIMEOUT_S):
            while True:
                result = await self._admin.put_document(
                    service, make_document(service), revision, change
                )
                if isinstance(result, Success):
                    break
        self.accepted_revisions[service] = result.unwrap()["revision"]

    async def put_at(self, name: str, service: str, revision: int, change: str):
        """Put one revision at one control VM and return the result."""
        text = make_document(service)
        return await self.client(name).put_document(service, text, revision, change)

    def client(self, name: str, token: str = OPERATOR_TOKEN) -> AdminClient:
        """Return a client of one control VM."""
        return AdminClient((self.system.control[name].addresses["admin"],), token)

    async def revisions_at(self, name: str) -> dict[str, int] | None:
        """Return the revisions that one control VM returns to readers."""
        result = await self.client(name).get("/documents")
        if not isinstance(result, Success):
            return None
        return {row["service"]: row["revision"] for row in result.unwrap()}

    async def wait_for_accepted_revisions(self, *names: str) -> None:
        """Wait until control VMs return exactly the accepted revisions."""
        for name in names or tuple(self.system.control):

            async def has_all(name=name) -> bool:
                return await self.revisions_at(name) == self.accepted_revisions

            await self.system.wait_until(
                has_all, f"{name} has {self.accepted_revisions}"
            )

    async def wait_until_active_on_node(self) -> None:
        """Wait until the accepted revisions are active on the node."""

        async def is_active() -> bool:
            status = await self.system.status("suva-cue-1")
            return status["documents"] == self.accepted_revisions

        await self.system.wait_until(is_active, f"{self.accepted_revisions} active")

    async def inject_leader_fault(self, fault: str) -> None:
        """Kill, pause or isolate the leader."""
        running = self.system.control[self.leader]
        match fault:
            case "killed":
                running.kill()
                await running.process.wait()
            case "frozen":
                running.suspend()
            case "cut off":
                self._isolate(self.leader)
            case "cut off from what comes in":
                self._relays[self.leader].drop_all()

    async def end_leader_fault(self, fault: str) -> None:
        """Undo a fault."""
        match fault:
            case "killed":
                await self.system.restart_control(self.leader)
            case "frozen":
                self.system.control[self.leader].resume()
            case _:
                for relay in self._relays.values():
                    relay.stop_dropping()

    def _isolate(self, name: str) -> None:
        for other, relay in self._relays.items():
            if other == name:
                relay.drop_all()
            else:
                relay.drop_source(name)

    async def restart_with_empty_disk(self, name: str) -> None:
        """Kill a control VM, empty its data folder and start it again."""
        running = self.system.control[name]
        running.kill()
        await running.process.wait()
        shutil.rmtree(self.system.folder / f"{name}.data")
        await self.system.restart_control(name)

    async def disk_ids(self) -> dict[str, str]:
        """Return the disk id of each voter."""
        rows = (await self.system.admin.get("/replicas")).value_or(())
        return {row["name"]: row["id"] for row in rows if row["voter"]}


@asynccontextmanager
async def open_control_cluster():
    """Open a cluster without control VMs."""
    async with open_system() as system, trio.open_nursery() as nursery:
        yield ControlCluster(system, nursery)
        nursery.cancel_scope.cancel()
