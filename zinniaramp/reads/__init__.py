"""Reads of JSON over HTTP: bounded, spaced and backed off."""

from .core import Backoff, ReadError, ReadJson, interval_for, make_reader

__all__ = ["Backoff", "ReadError", "ReadJson", "interval_for", "make_reader"]
