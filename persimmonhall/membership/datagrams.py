"""Send and receive membership messages as UDP datagrams."""

import trio
from absl import logging
from returns.result import Failure

from persimmonhall.address import Address, parse_address
from persimmonhall.membership.messages import (
    DATAGRAMS,
    Datagram,
    PingRequest,
    Spread,
)

RECEIVE_BUFFER_BYTES = 2048
LOG_INTERVAL_S = 10


class DatagramSocket:
    """Exchange typed messages over one UDP socket."""

    def __init__(self, socket: trio.socket.SocketType):
        self._socket = socket
        self.sent_bytes = 0
        self.received_bytes = 0

    async def send(self, address: Address, datagram: Datagram) -> None:
        """Send one datagram; a failed send counts as a lost datagram."""
        try:
            data = DATAGRAMS.encode(datagram)
            await self._socket.sendto(data, (address.host, address.port))
            self.sent_bytes += len(data)
        except OSError as error:
            logging.log_every_n_seconds(
                logging.WARNING,
                "datagram not sent to=%s %s",
                LOG_INTERVAL_S,
                address,
                error,
            )

    async def receive(self) -> Datagram:
        """Return the next well-formed datagram."""
        while True:
            try:
                data, _ = await self._socket.recvfrom(RECEIVE_BUFFER_BYTES)
                self.received_bytes += len(data)
                return decode_datagram(data)
            except (ValueError, OSError) as error:
                logging.log_every_n_seconds(
                    logging.WARNING,
                    "datagram dropped: %s",
                    LOG_INTERVAL_S,
                    error,
                )


async def open_datagram_socket(address: Address) -> DatagramSocket:
    """Bind a UDP socket."""
    family = trio.socket.AF_INET6 if ":" in address.host else trio.socket.AF_INET
    socket = trio.socket.socket(family, trio.socket.SOCK_DGRAM)
    await socket.bind((address.host, address.port))
    return DatagramSocket(socket)


def decode_datagram(data: bytes) -> Datagram:
    """Decode a datagram; raise ValueError if it or an address in it is invalid."""
    datagram = DATAGRAMS.decode(data)
    match datagram:
        case PingRequest():
            _check_address(datagram.address)
            _check_address(datagram.reply_to)
        case Spread():
            _check_address(datagram.address)
    return datagram


def _check_address(text: str) -> None:
    match parse_address(text):
        case Failure(reason):
            raise ValueError(reason)
