"""The command ``zinniaramp``."""

from .core import main

__all__ = ["main"]
