"""Bring about faults, one after the other and overlapping, in an order by seed."""

import random
from collections.abc import Awaitable, Callable

import trio

from harness.soak.backends import Backend, Behaviour
from harness.soak.cluster import ZONES, Cluster, Process
from harness.soak.network import NetworkFault
from harness.soak.organisations import WITHDRAWAL_S
from harness.soak.record import CALM_S, Disturbance, Record
from persimmonhall.pooling.node_limits import order_of

MIN_LENGTH_S, MAX_LENGTH_S = 0.3, 3.0
MAX_SYNC_DELAY_S = 0.3
MAX_GAP_S = 0.9
ABSENCE_CHANCE = 0.6
ALL_KINDS = ("kill", "kill", "pause", "pause", "stop", "network", "network", "disk")
ALL_KINDS += ("collector", "collector", "isolation")
ALL_KINDS += ("wipe", "wipe", "series", "series", "all nodes")
ALL_KINDS += ("outage", "backend", "backend", "backend", "crash", "drain", "drain")
Fault = Callable[[float], Awaitable[None]]


class Faults:
    """Choose and run faults; each process has at most one fault of a kind at a time."""

    def __init__(
        self,
        cluster: Cluster,
        backends: list[Backend],
        record: Record,
        rng: random.Random,
        kinds: tuple[str, ...] = ALL_KINDS,
    ):
        self._kinds = kinds
        self._cluster = cluster
        self._backends = backends
        self._record = record
        self._rng = rng
        self._busy: set[str] = set()
        self._has_wiped = False

    async def run(self, seconds: float, lull_s: float) -> None:
        """Start faults for some seconds, in one or two spells, each with a lull."""
        spells = self._rng.choice((1, 2)) if lull_s else 1
        for _ in range(spells):
            await self._run_spell(seconds / spells)
            self._record.note("all faults have ended")
            if lull_s and self._rng.random() < ABSENCE_CHANCE:
                await self._remove(self._rng.choice(self._cluster.control), lull_s)
                await trio.sleep(CALM_S)
            else:
                await trio.sleep(lull_s)

    async def _remove(self, vm: Process, length_s: float) -> None:
        """Take one control VM away for long: the others are calm and a majority."""
        kind = self._rng.choice(("kill", "pause", "cut"))
        self._record.note(f"absence of {vm.name} begins: {kind}")
        absence = Disturbance(vm.name, trio.current_time(), is_absence=True)
        self._record.disturbances.append(absence)
        match kind:
            case "kill":
                await vm.kill()
            case "pause":
                vm.pause()
            case "cut":
                self._cluster.network.set_fault(vm.name, NetworkFault.SILENCE)
        await trio.sleep(length_s)
        absence.end = trio.current_time()
        match kind:
            case "kill":
                start = Disturbance(vm.name, absence.end)
                self._record.disturbances.append(start)
                await vm.start()
                start.end = trio.current_time()
            case "pause":
                vm.resume()
            case "cut":
                self._cluster.network.set_fault(vm.name, None)
        self._record.note(f"absence of {vm.name} has ended")

    async def _run_spell(self, seconds: float) -> None:
        """Start faults for some seconds and return when all have ended."""
        # The next disk is lost after a lull, in which the last one was replaced.
        self._has_wiped = False
        end = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            while trio.current_time() < end:
                name, target, fault = self._choose()
                length_s = self._rng.uniform(MIN_LENGTH_S, MAX_LENGTH_S)
                if target not in self._busy:
                    self._busy.add(target)
                    nursery.start_soon(self._run_one, name, target, fault, length_s)
                await trio.sleep(self._rng.uniform(0.1, MAX_GAP_S))

    async def _run_one(
        self, name: str, target: str, fault: Fault, length_s: float
    ) -> None:
        self._record.note(f"{name} begins, {length_s:.2f} s")
        now = trio.current_time()
        disturbances = [Disturbance(harmed, now) for harmed in self._harmed(target)]
        self._record.disturbances += disturbances
        await fault(length_s)
        for disturbance in disturbances:
            disturbance.end = trio.current_time()
        self._record.note(f"{name} has ended")
        self._busy.discard(target)

    def _harmed(self, target: str) -> list[str]:
        """Return the names of what a fault harms."""
        if target == "outage":
            return [vm.name for vm in self._cluster.control]
        if target == "all nodes":
            return [node.name for node in self._cluster.nodes]
        kind, _, name = target.rpartition(" ")
        return [f"server of {name}" if kind in ("at", "life of") else name]

    def _choose(self) -> tuple[str, str, Fault]:
        rng, cluster = self._rng, self._cluster
        kind = rng.choice(self._kinds)
        process = rng.choice(cluster.processes)
        vm = rng.choice(cluster.control)
        backend = rng.choice(self._backends)
        network_fault = rng.choice(tuple(NetworkFault))
        behaviour = rng.choice(tuple(Behaviour)[1:])
        server = backend.instance.rpartition("-")[0]

        def bind(run, *arguments) -> Fault:
            return lambda length_s: run(*arguments, length_s)

        match kind:
            case "kill":
                return (f"kill of {process.name}", process.name) + (
                    bind(self._kill, process),
                )
            case "pause":
                return (f"pause of {process.name}", process.name) + (
                    bind(self._pause, process),
                )
            case "stop":
                return (f"stop of {process.name}", process.name) + (
                    bind(self._stop, process),
                )
            case "outage":
                return "loss of power of all control VMs", "outage", self._outage
            case "wipe" if self._has_wiped:
                return self._choose()
            case "wipe":
                return (f"lost disk of {vm.name}", vm.name, bind(self._wipe, vm))
            case "series":
                run = bind(self._stop_in_series, vm)
                return f"stops in series of {vm.name}", vm.name, run
            case "all nodes":
                return "kill of all nodes", "all nodes", self._kill_all_nodes
            case "isolation":
                node = rng.choice(cluster.nodes)
                run = bind(self._isolate, node)
                return f"isolation of {node.name}", f"network of {node.name}", run
            case "collector":
                return self._choose_of_collector(network_fault)
            case "disk":
                return (f"slow disk of {vm.name}", f"disk of {vm.name}") + (
                    bind(self._slow_disk, vm),
                )
            case "network":
                name = f"network of {process.name}"
                run = bind(self._disturb, process, network_fault)
                return f"{network_fault.value}: {name}", name, run
            case "backend":
                run = bind(self._misbehave, backend, behaviour)
                return f"{behaviour.value}: server of {server}", f"at {server}", run
            case "crash":
                run = bind(self._crash, backend)
                return f"crash of the server of {server}", f"life of {server}", run
        run = bind(self._drain, backend)
        return f"drain of the server of {server}", f"life of {server}", run

    def _choose_of_collector(
        self, network_fault: NetworkFault
    ) -> tuple[str, str, Fault]:
        """Kill, freeze or cut the node that sums the counts of a zone."""
        zone = self._rng.choice(ZONES)
        nodes = {node.name: node for node in self._cluster.nodes}
        names = [n for n, p in nodes.items() if p.settings["node"]["zone"] == zone]
        node = nodes[order_of(names)[0]]
        kind = self._rng.choice(("kill", "pause", "network"))
        name = f"collector {node.name}"
        match kind:
            case "kill":
                return f"kill of {name}", node.name, lambda s: self._kill(node, s)
            case "pause":
                return f"pause of {name}", node.name, lambda s: self._pause(node, s)
        return (
            f"{network_fault.value}: network of {name}",
            f"network of {node.name}",
            lambda s: self._disturb(node, network_fault, s),
        )

    async def _kill(self, process: Process, length_s: float) -> None:
        await process.kill()
        await trio.sleep(length_s / 3)
        await process.start()

    async def _pause(self, process: Process, length_s: float) -> None:
        process.pause()
        await trio.sleep(length_s * 1.5)
        process.resume()

    async def _stop(self, process: Process, length_s: float) -> None:
        await process.stop()
        await trio.sleep(length_s / 3)
        await process.start()

    async def _stop_in_series(self, vm: Process, length_s: float) -> None:
        """Stop and start a control VM again and again."""
        end = trio.current_time() + length_s
        while True:
            await vm.stop()
            await vm.start()
            if trio.current_time() >= end:
                return
            await trio.sleep(self._rng.uniform(0.0, 0.3))

    async def _wipe(self, vm: Process, length_s: float) -> None:
        """Kill a control VM that comes back with an empty disk."""
        self._has_wiped = True
        await vm.wipe()
        await trio.sleep(length_s / 3)
        await vm.start()

    async def _kill_all_nodes(self, length_s: float) -> None:
        free = [node for node in self._cluster.nodes if node.name not in self._busy]
        self._busy.update(node.name for node in free)
        async with trio.open_nursery() as nursery:
            for node in free:
                nursery.start_soon(self._kill, node, length_s)
        self._busy.difference_update(node.name for node in free)

    async def _outage(self, length_s: float) -> None:
        """Kill all control VMs at once; their slow disks lose what was not synced."""
        free = [vm for vm in self._cluster.control if vm.name not in self._busy]
        self._busy.update(vm.name for vm in free)
        for vm in free:
            vm.disk.with_suffix(".disk.delay").write_text(f"{MAX_SYNC_DELAY_S}")
        await trio.sleep(length_s)
        for vm in free:
            vm.disk.with_suffix(".disk.delay").unlink(missing_ok=True)
        async with trio.open_nursery() as nursery:
            for vm in free:
                nursery.start_soon(self._kill, vm, length_s)
        self._busy.difference_update(vm.name for vm in free)

    async def _slow_disk(self, vm: Process, length_s: float) -> None:
        path = vm.disk.with_suffix(".disk.delay")
        path.write_text(f"{self._rng.uniform(0.01, MAX_SYNC_DELAY_S):.3f}")
        await trio.sleep(length_s * 2)
        path.unlink(missing_ok=True)

    async def _disturb(
        self, process: Process, fault: NetworkFault, length_s: float
    ) -> None:
        self._cluster.network.set_fault(process.name, fault)
        await trio.sleep(length_s)
        self._cluster.network.set_fault(process.name, None)

    async def _isolate(self, node: Process, length_s: float) -> None:
        """Cut a node off until it may serve no keys; its callers still come."""
        await self._disturb(node, NetworkFault.SILENCE, WITHDRAWAL_S + length_s)

    async def _misbehave(
        self, backend: Backend, behaviour: Behaviour, length_s: float
    ) -> None:
        backend.behaviour = behaviour
        await trio.sleep(length_s)
        backend.behaviour = Behaviour.NORMAL

    async def _crash(self, backend: Backend, length_s: float) -> None:
        backend.crash()
        await trio.sleep(length_s)

    async def _drain(self, backend: Backend, length_s: float) -> None:
        await backend.drain()
