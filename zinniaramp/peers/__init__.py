"""Entries tell each other what they know and what they have sent."""

from .core import PeerMesh
from .messages import LoadEvent, SendBegun, SendEnded, SendStarted

__all__ = ["LoadEvent", "PeerMesh", "SendBegun", "SendEnded", "SendStarted"]
