"""Exchange of load events and store revisions between entries."""

from .core import PeerMesh
from .messages import LoadEvent, SendEnded, SendFirstEvent, SendStarted

__all__ = ["LoadEvent", "PeerMesh", "SendEnded", "SendFirstEvent", "SendStarted"]
