"""Find the control VMs through membership and the settings."""

from persimmonhall.address import Address
from persimmonhall.ids import ServiceName, ZoneName
from persimmonhall.membership.effects import address_of
from persimmonhall.membership.table import MemberTable

# No team can use this service name: NAME_PATTERN requires a letter or digit first.
CONTROL_SERVICE = ServiceName("-control")


class ControlMembers:
    """List the control VMs that are members, then those of the settings."""

    def __init__(self, table: MemberTable, seeds: tuple[Address, ...]):
        self._table = table
        self._seeds = seeds

    @property
    def addresses(self) -> list[Address]:
        """Return the addresses of the control VMs, members first."""
        members = self._table.servers_of(CONTROL_SERVICE)
        member_addresses = [address_of(member.frames) for member in members]
        return member_addresses + [
            seed for seed in self._seeds if seed not in member_addresses
        ]

    def addresses_in(self, zone: ZoneName) -> list[Address]:
        """Return the addresses of the control VMs that are members in a zone."""
        members = self._table.servers_of(CONTROL_SERVICE)
        return [address_of(m.frames) for m in members if m.zone == zone]

    def set_seeds(self, seeds: tuple[Address, ...]) -> None:
        """Replace the control VMs that come from the settings."""
        self._seeds = seeds
