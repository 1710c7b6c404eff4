"""Authenticated streams of messages between the processes of a fleet."""

from .core import Connection, LinkError
from .handshake import Identity, accept, dial
from .listener import Listener

__all__ = ["Connection", "Identity", "LinkError", "Listener", "accept", "dial"]
