"""TCP connections whose silence is noticed."""

from .core import Address, ConnectError, open_stream, parse_address, watch_silence

__all__ = ["Address", "ConnectError", "open_stream", "parse_address", "watch_silence"]
