"""Sources of the current time; components receive one as a parameter."""

from .core import Clock, monotonic_clock

__all__ = ["Clock", "monotonic_clock"]
