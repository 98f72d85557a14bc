"""Put a relay in front of each process to simulate network partitions."""

from dataclasses import dataclass, field
from itertools import cycle, islice

import trio

from harness.system import System
from harness.zone_relay import Cuts, ZoneRelay
from persimmonhall.ids import ZoneName


def host_of(number: int) -> str:
    """Return the IP address that identifies the processes of a zone."""
    return f"127.0.{number + 1}.1"


@dataclass
class ZoneNetwork:
    """Start the processes of a system behind relays."""

    system: System
    nursery: trio.Nursery
    zones: tuple[str, ...]
    control_zones: tuple[str, ...]
    delay_ms: float
    cuts: Cuts = field(init=False)
    _control: list[ZoneRelay] = field(default_factory=list)
    _seed: ZoneRelay | None = None

    def __post_init__(self):
        hosts = {host_of(n): ZoneName(zone) for n, zone in enumerate(self.zones)}
        self.cuts = Cuts(hosts, self.delay_ms / 1000)

    async def start_controls(self, count: int) -> None:
        """Start control VMs in their zones and wait until all are voters."""
        zones = islice(cycle(self.control_zones), count)
        for number, zone in enumerate(zones, 1):
            name = f"control-{number}"
            relay = await self._start_relay(zone)
            known = [str(other.address) for other in self._control]
            await self.system.start_control(
                name, zone, peers=known, advertise=str(relay.address)
            )
            relay.target = self.system.control[name].addresses["frames"]
            self._control.append(relay)
        await self.system.wait_for_voters(count)

    async def start_node(self, name: str, zone: str, **more) -> None:
        """Start a node that reaches the control VMs and the seed node by relays."""
        relay = await self._start_relay(zone)
        self._seed = self._seed or relay
        node = await self.system.start_node(
            name,
            zone,
            control=tuple(other.address for other in self._control),
            seeds=(self._seed.address,),
            frames=f"{host_of(self.zones.index(zone))}:0",
            advertise=str(relay.address),
            **more,
        )
        relay.target = node.addresses["frames"]

    async def _start_relay(self, zone: str) -> ZoneRelay:
        return await self.nursery.start(ZoneRelay(self.cuts, ZoneName(zone)).run)
