"""Reading JSON over HTTP with timeouts, polling intervals and backoff."""

from .core import Backoff, ReadError, ReadJson, make_http_reader, polling_interval

__all__ = ["Backoff", "ReadError", "ReadJson", "make_http_reader", "polling_interval"]
