"""Know where the control VMs are, from the settings and from membership."""

from persimmonhall.address import Address
from persimmonhall.ids import ServiceName
from persimmonhall.membership.effects import address_of
from persimmonhall.membership.table import MemberTable

# No service of a team can have this name: NAME_PATTERN begins with a letter or digit.
CONTROL_SERVICE = ServiceName("-control")


class ControlMembers:
    """List the control VMs that are members, or else those of the settings."""

    def __init__(self, table: MemberTable, seeds: tuple[Address, ...]):
        self._table = table
        self._seeds = seeds

    @property
    def addresses(self) -> list[Address]:
        """Return the addresses of the control VMs to ask."""
        members = self._table.servers_of(CONTROL_SERVICE)
        known = [address_of(member.frames) for member in members]
        return known + [seed for seed in self._seeds if seed not in known]

    def set_seeds(self, seeds: tuple[Address, ...]) -> None:
        """Take in the control VMs that the settings name now."""
        self._seeds = seeds
