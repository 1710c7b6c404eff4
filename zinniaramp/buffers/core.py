"""Sizes of receive buffers, and the number of bytes that wait in one.

The kernel lets a buffer without a size of its own grow to several megabytes.  The bytes
in it count as memory of the process.
"""

import fcntl
import socket
import sys
import termios

__all__ = [
    "LARGE_BUFFER_BYTES",
    "SERVER_BUFFER_BYTES",
    "SMALL_BUFFER_BYTES",
    "USUAL_BUFFER_BYTES",
    "WAITING_BUFFER_BYTES",
    "count_unread",
    "limit_receive_buffer",
    "unread_capacity",
]

SMALL_BUFFER_BYTES = 4 * 1024
"""Receive buffer of an accepted connection while there are very many others."""

WAITING_BUFFER_BYTES = 8 * 1024
"""Receive buffer of a connection that waits to be accepted: hundreds may, before a
process knows of them."""

USUAL_BUFFER_BYTES = 16 * 1024
"""Receive buffer of an accepted connection.  An ordinary request fits."""

SERVER_BUFFER_BYTES = 32 * 1024
"""Receive buffer of a connection to a server.  Events have a few hundred bytes, and an
answer without events passes through at two buffers per round trip."""

LARGE_BUFFER_BYTES = 64 * 1024
"""Receive buffer of the few connections that carry large messages: the platform's
services, peers, and bodies for which memory was reserved."""

KERNEL_FACTOR = 2
"""The kernel doubles the size that is set, for its own structures.  Large segments need
few of them, so that nearly all of the doubled size may hold data.

References
----------
Linux manual, socket(7), ``SO_RCVBUF``.
"""

INT_BYTES = 4
"""Size of the integer that ``FIONREAD`` returns, in bytes."""


def limit_receive_buffer(connection: socket.socket, size: int) -> None:
    """Set the size of a socket's receive buffer, which then doesn't grow by itself.

    The connections of a listening socket inherit the size.

    Parameters
    ----------
    connection : socket.socket
        TCP socket.
    size : int
        Bytes; see `unread_capacity` for what the buffer may hold.
    """
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)


def unread_capacity(size: int) -> int:
    """Return the most bytes that a receive buffer of some size may hold."""
    return size * KERNEL_FACTOR


def count_unread(connection: socket.socket) -> int:
    """Return the number of bytes that were received and not read.

    Parameters
    ----------
    connection : socket.socket
        Connected TCP socket.

    Returns
    -------
    int
        Bytes in the receive queue of the kernel; 0 if the system does not report them.

    References
    ----------
    Linux manual, tcp(7), ``SIOCINQ``.
    """
    count = bytearray(INT_BYTES)
    try:
        fcntl.ioctl(connection, termios.FIONREAD, count)
    except (OSError, ValueError):
        # ValueError: the socket is closed.
        return 0
    return int.from_bytes(count, sys.byteorder)
