"""Put a relay in front of each process to simulate network partitions."""

from dataclasses import dataclass, field
from itertools import cycle, islice

import trio

from harness.system import System
from harness.zone_relay import ZoneCuts, ZoneRelay
from persimmonhall.ids import ZoneName


def zone_host(number: int) -> str:
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
    cuts: ZoneCuts = field(init=False)
    _control_relays: list[ZoneRelay] = field(default_factory=list)
    _seed_relay: ZoneRelay | None = None

    def __post_init__(self):
        hosts = {zone_host(n): ZoneName(zone) for n, zone in enumerate(self.zones)}
        self.cuts = ZoneCuts(hosts, self.delay_ms / 1000)

    async def start_controls(self, count: int) -> None:
        """Start control VMs in their zones and wait until all are voters."""
        zones = islice(cycle(self.control_zones), count)
        for number, zone in enumerate(zones, 1):
            name = f"control-{number}"
            relay = await self._start_relay(zone)
            known = [str(other.address) for other in self._control_relays]
            await self.system.start_control(
                name, zone, peers=known, advertise=str(relay.address)
            )
            relay.target = self.system.control[name].addresses["frames"]
            self._control_relays.append(relay)
        await self.system.wait_for_voters(count)

    async def start_node(self, name: str, zone: str, **overrides) -> None:
        """Start a node that reaches the control VMs and the seed node by relays."""
        relay = await self._start_relay(zone)
        self._seed_relay = self._seed_relay or relay
        node = await self.system.start_node(
            name,
            zone,
            control=tuple(other.address for other in self._control_relays),
            seeds=(self._seed_relay.address,),
            frames=f"{zone_host(self.zones.index(zone))}:0",
            advertise=str(relay.address),
            **overrides,
        )
        relay.target = node.addresses["frames"]

    async def _start_relay(self, zone: str) -> ZoneRelay:
        return await self.nursery.start(ZoneRelay(self.cuts, ZoneName(zone)).run)
