"""TCP connections with keep-alive, so that an unreachable peer is detected."""

from .core import (
    Address,
    ConnectError,
    bind_listeners,
    count_unacknowledged,
    enable_keepalive,
    open_stream,
    parse_address,
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
