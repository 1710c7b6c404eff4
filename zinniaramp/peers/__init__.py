"""Exchange of load events and store revisions between entries."""

from .core import PeerMesh
from .messages import LoadEvent, SendBegun, SendEnded, SendStarted

__all__ = ["LoadEvent", "PeerMesh", "SendBegun", "SendEnded", "SendStarted"]
