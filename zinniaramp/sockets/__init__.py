"""TCP connections whose silence is noticed."""

from .core import Address, ConnectError, enable_keepalive, open_stream, parse_address

__all__ = [
    "Address",
    "ConnectError",
    "enable_keepalive",
    "open_stream",
    "parse_address",
]
