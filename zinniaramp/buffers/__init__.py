"""Receive buffers of TCP sockets; needs only the standard library."""

from .core import (
    LARGE_BUFFER_BYTES,
    SERVER_BUFFER_BYTES,
    SMALL_BUFFER_BYTES,
    USUAL_BUFFER_BYTES,
    WAITING_BUFFER_BYTES,
    count_unread,
    limit_receive_buffer,
    unread_capacity,
)

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
