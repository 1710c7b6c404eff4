"""Reads of the platform's services: bounded, spaced and backed off."""

from .core import Backoff, PlatformError, ReadJson, interval_for, make_reader

__all__ = ["Backoff", "PlatformError", "ReadJson", "interval_for", "make_reader"]
