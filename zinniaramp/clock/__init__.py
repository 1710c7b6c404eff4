"""Sources of the current time, passed into whatever needs one."""

from .core import Clock, monotonic_clock

__all__ = ["Clock", "monotonic_clock"]
