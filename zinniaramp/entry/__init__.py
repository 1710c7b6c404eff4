"""The entry process: takes callers' requests and sees each to its outcome."""

from .core import EntryProcess

__all__ = ["EntryProcess"]
