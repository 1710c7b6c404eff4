"""TCP connections by IP address, with short intervals of keep-alive probes."""

import fcntl
import socket
import sys
import termios
from dataclasses import dataclass
from datetime import timedelta
from ipaddress import IPv4Address

from result import Err, Ok, Result
from tornado.gen import with_timeout
from tornado.iostream import IOStream, StreamClosedError
from tornado.netutil import bind_sockets
from tornado.util import TimeoutError as TornadoTimeoutError

from ..buffers import (
    SERVER_BUFFER_BYTES,
    WAITING_BUFFER_BYTES,
    limit_receive_buffer,
)

__all__ = [
    "Address",
    "ConnectError",
    "bind_listeners",
    "count_unacknowledged",
    "enable_keepalive",
    "open_stream",
    "parse_address",
]

MAX_PORT = 65535
"""Highest TCP port."""

KEEPALIVE_IDLE = timedelta(seconds=1)
"""Idle time before the kernel probes a peer, and interval between probes.  The
platform counts a host as reachable again 3 s after a fault, so a dead connection has
to be detected within that time."""

KEEPALIVE_PROBES = 2
"""Unanswered probes, one second apart, after which the kernel closes a connection."""

USER_TIMEOUT = timedelta(seconds=3)
"""Longest time that sent bytes may stay unacknowledged; equal to the time that
detection by probes takes."""


INT_BYTES = 4
"""Size of the integer that ``TIOCOUTQ`` returns, in bytes."""


class ConnectError(ConnectionError):
    """The connection could not be established; nothing was sent.

    Attributes
    ----------
    is_refused : bool
        Whether the host refused it, as it does when nothing listens at the port.
    """

    def __init__(self, message: str, *, is_refused: bool):
        super().__init__(message)
        self.is_refused = is_refused


@dataclass(slots=True, kw_only=True, frozen=True)
class Address:
    """IP address and TCP port."""

    ip: str
    port: int

    def __str__(self) -> str:
        return f"{self.ip}:{self.port}"


def parse_address(text: str) -> Address:
    """Parse an address written as ``IP:PORT``.

    Raises
    ------
    ValueError
        The text is not an IPv4 address and a port from 1 to 65535.
    """
    ip, _, port = text.rpartition(":")
    is_valid = port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT
    try:
        IPv4Address(ip)
    except ValueError:
        is_valid = False
    if not is_valid:
        raise ValueError(f"{text!r} is not IPv4:PORT; write for example 10.0.0.1:8080")
    return Address(ip=ip, port=int(port))


def enable_keepalive(connection: socket.socket) -> None:
    """Make the kernel close a connection whose peer does not respond.

    Also disables Nagle's algorithm.
    """
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


def count_unacknowledged(connection: socket.socket | int) -> int:
    """Return the number of written bytes that the peer's host has not acknowledged.

    Parameters
    ----------
    connection : socket.socket or int
        Connected TCP socket, or its file descriptor.

    Returns
    -------
    int
        Bytes in the send queue of the kernel; 0 if the system does not report them.

    References
    ----------
    Linux manual, tcp(7), ``SIOCOUTQ``.
    """
    count = bytearray(INT_BYTES)
    try:
        fcntl.ioctl(connection, termios.TIOCOUTQ, count)
    except OSError:
        return 0
    return int.from_bytes(count, sys.byteorder)


def bind_listeners(port: int, ip: str) -> list[socket.socket]:
    """Listen at an address; waiting connections have small receive buffers."""
    listeners = bind_sockets(port, ip)
    for listener in listeners:
        limit_receive_buffer(listener, WAITING_BUFFER_BYTES)
    return listeners


async def open_stream(
    address: Address,
    *,
    timeout: timedelta,
    stream_class: type[IOStream] = IOStream,
    receive_buffer: int = SERVER_BUFFER_BYTES,
) -> Result[IOStream, ConnectError]:
    """Connect to an address.

    Parameters
    ----------
    address : Address
        Address to connect to.
    timeout : timedelta
        Longest time to establish the connection.
    stream_class : type
        Class of the stream.
    receive_buffer : int
        Size of the receive buffer, in bytes.

    Returns
    -------
    Result
        The connected stream; or `ConnectError`, after which nothing was sent.
    """
    stream = stream_class(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
    enable_keepalive(stream.socket)
    limit_receive_buffer(stream.socket, receive_buffer)
    try:
        connecting = stream.connect((address.ip, address.port))
        await with_timeout(timeout, connecting, quiet_exceptions=StreamClosedError)
    except (TornadoTimeoutError, StreamClosedError, OSError) as error:
        is_refused = isinstance(stream.error, ConnectionRefusedError)
        stream.close()
        return Err(ConnectError(f"{address}: {error!r}", is_refused=is_refused))
    except BaseException:
        stream.close()
        raise
    return Ok(stream)
