"""Numbered log events and metrics."""

from .core import Event, configure_logging, declare_event, declared_events, emit

__all__ = ["Event", "configure_logging", "declare_event", "declared_events", "emit"]
