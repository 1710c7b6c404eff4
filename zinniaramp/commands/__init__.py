"""The command line interface ``zinniaramp``."""

from .core import main

__all__ = ["main"]
