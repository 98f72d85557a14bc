"""Define TCP and UDP addresses."""

import ipaddress
from dataclasses import dataclass

from returns.result import Failure, Result, Success

MAX_PORT = 65535
MAX_PORT_DIGITS = 5


@dataclass(frozen=True, order=True)
class Address:
    """Represent an IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return the address as host:port."""
        return f"{self.host}:{self.port}"


def parse_address(text: str) -> Result[Address, str]:
    """Parse an address of the form 127.0.0.1:80."""
    host, colon, port = text.rpartition(":")
    if not colon or not port.isascii() or not port.isdigit():
        return Failure(f"{text!r} does not have the form IP:PORT")
    if len(port) > MAX_PORT_DIGITS or int(port) > MAX_PORT:
        return Failure(f"port {port[:20]} is greater than {MAX_PORT}")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return Failure(f"{host!r} is not an IP address")
    return Success(Address(host, int(port)))
