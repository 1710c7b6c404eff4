"""Opening of connections by IP address, with short keep-alive probes."""

import socket
from dataclasses import dataclass
from datetime import timedelta
from ipaddress import IPv4Address

from result import Err, Ok, Result
from tornado.gen import with_timeout
from tornado.iostream import IOStream, StreamClosedError
from tornado.util import TimeoutError as TornadoTimeoutError

__all__ = [
    "Address",
    "ConnectError",
    "enable_keepalive",
    "open_stream",
    "parse_address",
]

MAX_PORT = 65535
"""Highest port of TCP."""

KEEPALIVE_IDLE = timedelta(seconds=1)
"""Silence after which the kernel probes a peer; the platform counts a host as in
touch again 3 s after a fault, so a dead connection has to be found before that."""

KEEPALIVE_PROBES = 2
"""Probes without an answer, a second apart, after which a connection is dead."""

USER_TIMEOUT = timedelta(seconds=3)
"""Longest time that sent bytes stay unacknowledged; as long as the probes take."""


class ConnectError(Exception):
    """No connection was made, and nothing was sent."""


@dataclass(slots=True, kw_only=True, frozen=True)
class Address:
    """IP address and TCP port."""

    ip: str
    port: int

    def __str__(self) -> str:
        return f"{self.ip}:{self.port}"


def parse_address(text: str) -> Address:
    """Return the address that ``IP:PORT`` names.

    Raises
    ------
    ValueError
        The text is not an IPv4 address and a port.
    """
    ip, _, port = text.rpartition(":")
    is_port = port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT
    try:
        IPv4Address(ip)
    except ValueError:
        is_port = False
    if not is_port:
        raise ValueError(f"{text!r} is not IPv4:PORT; write for example 10.0.0.1:8080")
    return Address(ip=ip, port=int(port))


def enable_keepalive(connection: socket.socket) -> None:
    """Have the kernel end a connection whose peer has fallen silent."""
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    seconds = int(KEEPALIVE_IDLE.total_seconds())
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, seconds)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, seconds)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    connection.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        USER_TIMEOUT // timedelta(milliseconds=1),
    )


async def open_stream(
    address: Address, *, timeout: timedelta
) -> Result[IOStream, ConnectError]:
    """Connect to an address within a time.

    Returns
    -------
    Result
        The connected stream; or `ConnectError`, and then nothing was sent.
    """
    stream = IOStream(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
    enable_keepalive(stream.socket)
    try:
        connecting = stream.connect((address.ip, address.port))
        await with_timeout(timeout, connecting, quiet_exceptions=StreamClosedError)
    except (TornadoTimeoutError, StreamClosedError, OSError) as error:
        stream.close()
        return Err(ConnectError(f"{address}: {error!r}"))
    except BaseException:
        stream.close()
        raise
    return Ok(stream)
