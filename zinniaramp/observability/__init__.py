"""Structured log events with stable numbers, and the metrics handler."""

from .core import Event, configure_logging, declare_event, declared_events, emit
from .writer import LogWriter

__all__ = [
    "Event",
    "LogWriter",
    "configure_logging",
    "declare_event",
    "declared_events",
    "emit",
]
