"""Reads of JSON over HTTP: bounded, spaced and backed off."""

from .core import Backoff, ReadError, ReadJson, make_http_reader, polling_interval

__all__ = ["Backoff", "ReadError", "ReadJson", "make_http_reader", "polling_interval"]
