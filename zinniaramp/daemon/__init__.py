"""The daemon ``zinniarampd``."""

from .core import main

__all__ = ["main"]
