"""Send and receive membership messages as UDP datagrams."""

import socket as sockets

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
# Other tasks run at least this often while datagrams keep arriving.
MAX_DATAGRAMS_WITHOUT_YIELD = 64


class DatagramSocket:
    """Exchange typed messages over one UDP socket.

    The system calls come first: trio's sockets go through the scheduler for each.
    """

    def __init__(self, socket: sockets.socket):
        self._socket = socket
        self._received_since_yield = 0
        self.sent_bytes = 0
        self.received_bytes = 0

    @property
    def fd(self) -> int:
        """Return the descriptor to poll."""
        return self._socket.fileno()

    def send(self, address: Address, datagram: Datagram) -> None:
        """Send one datagram; a failed send counts as a lost datagram."""
        try:
            data = DATAGRAMS.encode(datagram)
            self._socket.sendto(data, (address.host, address.port))
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
            await self._yield_if_due()
            datagram = self.receive_now()
            if datagram is not None:
                return datagram
            await trio.lowlevel.wait_readable(self._socket)
            self._received_since_yield = 0

    def receive_now(self) -> Datagram | None:
        """Return the next well-formed datagram that has arrived, None without one."""
        while True:
            try:
                data = self._socket.recv(RECEIVE_BUFFER_BYTES)
                self.received_bytes += len(data)
                return decode_datagram(data)
            except BlockingIOError:
                return None
            except (ValueError, OSError) as error:
                logging.log_every_n_seconds(
                    logging.WARNING,
                    "datagram dropped: %s",
                    LOG_INTERVAL_S,
                    error,
                )

    async def _yield_if_due(self) -> None:
        self._received_since_yield += 1
        if self._received_since_yield > MAX_DATAGRAMS_WITHOUT_YIELD:
            self._received_since_yield = 0
            await trio.lowlevel.checkpoint()


async def open_datagram_socket(address: Address) -> DatagramSocket:
    """Bind a UDP socket."""
    family = sockets.AF_INET6 if ":" in address.host else sockets.AF_INET
    socket = sockets.socket(family, sockets.SOCK_DGRAM)
    try:
        socket.setblocking(False)
        socket.bind((address.host, address.port))
    except OSError:
        socket.close()
        raise
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
