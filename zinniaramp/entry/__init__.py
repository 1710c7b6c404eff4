"""The entry process: accepts callers' requests and routes them to endpoints."""

from .core import EntryProcess

__all__ = ["EntryProcess"]
